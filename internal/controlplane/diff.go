package controlplane

import "slices"

// maxDiffDepth bounds the recursion that divides a range at lines that occur once in it. A range at this depth is replaced as a whole,
// so that no text makes the recursion deep.
const maxDiffDepth = 64

// Diff returns the splices that turn one document into another, by the patience diff algorithm: common lines at the start and at the
// end of a range are skipped, and the rest is divided at the lines that occur exactly once in both documents.
func Diff(from, to *Document) []Splice {
	d := diffBuilder{from: from, to: to}
	d.diffRange(lineRange{0, from.LineCount()}, lineRange{0, to.LineCount()}, 0)
	if n := len(d.splices); n > maxSplices { // too many differences: one splice from the first to the last
		first, last := d.splices[0], d.splices[n-1]
		end := last.Line + last.Delete
		endInTo := to.LineCount() - from.LineCount() + int(end)
		return []Splice{{Line: first.Line, Delete: end - first.Line, Insert: to.copyLines(int(first.Line), endInTo)}}
	}
	return d.splices
}

// lineRange is the half-open range of lines from start to end.
type lineRange struct{ start, end int }

func (r lineRange) isEmpty() bool { return r.start >= r.end }

// linePair holds the line numbers of one line that both documents contain.
type linePair struct{ from, to int }

type diffBuilder struct {
	from, to *Document
	splices  []Splice
}

func (d *diffBuilder) diffRange(from, to lineRange, depth int) {
	for !from.isEmpty() && !to.isEmpty() && d.from.line(from.start) == d.to.line(to.start) {
		from.start++
		to.start++
	}
	for !from.isEmpty() && !to.isEmpty() && d.from.line(from.end-1) == d.to.line(to.end-1) {
		from.end--
		to.end--
	}
	if from.isEmpty() && to.isEmpty() {
		return
	}
	if !from.isEmpty() && !to.isEmpty() && depth < maxDiffDepth {
		if anchors := longestAscending(d.uniqueCommonLines(from, to)); len(anchors) > 0 {
			d.diffBetween(anchors, from, to, depth)
			return
		}
	}
	d.splices = append(d.splices, Splice{
		Line:   uint64(from.start),
		Delete: uint64(from.end - from.start),
		Insert: d.to.copyLines(to.start, to.end),
	})
}

// diffBetween compares the ranges before, between and after the anchors.
func (d *diffBuilder) diffBetween(anchors []linePair, from, to lineRange, depth int) {
	for _, anchor := range anchors {
		d.diffRange(lineRange{from.start, anchor.from}, lineRange{to.start, anchor.to}, depth+1)
		from.start, to.start = anchor.from+1, anchor.to+1
	}
	d.diffRange(from, to, depth+1)
}

// uniqueCommonLines returns the lines that occur exactly once in each range, in the order of the first range.
func (d *diffBuilder) uniqueCommonLines(from, to lineRange) []linePair {
	type occurrence struct{ inFrom, inTo, countFrom, countTo int }
	occurrences := make(map[string]occurrence, from.end-from.start)
	for i := from.start; i < from.end; i++ {
		seen := occurrences[d.from.line(i)]
		seen.inFrom = i
		seen.countFrom++
		occurrences[d.from.line(i)] = seen
	}
	for i := to.start; i < to.end; i++ {
		if seen, ok := occurrences[d.to.line(i)]; ok {
			seen.inTo = i
			seen.countTo++
			occurrences[d.to.line(i)] = seen
		}
	}
	var pairs []linePair
	for i := from.start; i < from.end; i++ {
		if seen := occurrences[d.from.line(i)]; seen.countFrom == 1 && seen.countTo == 1 {
			pairs = append(pairs, linePair{i, seen.inTo})
		}
	}
	return pairs
}

// longestAscending returns the longest subsequence of the pairs, which ascend by their first line, that ascends by their second line
// too. It uses patience sorting: pileTops[n] is the index of the pair with the lowest second line among those that end an ascending
// subsequence of n+1 pairs.
func longestAscending(pairs []linePair) []linePair {
	var pileTops []int
	previous := make([]int, len(pairs)) // index of the preceding pair in the subsequence that ends with this pair; -1 if there is none
	for i, pair := range pairs {
		pile, _ := slices.BinarySearchFunc(pileTops, pair.to, func(top, line int) int { return pairs[top].to - line })
		previous[i] = -1
		if pile > 0 {
			previous[i] = pileTops[pile-1]
		}
		if pile == len(pileTops) {
			pileTops = append(pileTops, i)
		} else {
			pileTops[pile] = i
		}
	}
	if len(pileTops) == 0 {
		return nil
	}
	var ascending []linePair
	for i := pileTops[len(pileTops)-1]; i >= 0; i = previous[i] {
		ascending = append(ascending, pairs[i])
	}
	slices.Reverse(ascending)
	return ascending
}
