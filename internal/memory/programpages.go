package memory

import (
	"bufio"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/sys/unix"
)

// ProgramPages are the resident pages of the program and the C library. The system reads them from their files again when they are
// needed, so that those used at the start alone can be released.
type ProgramPages struct {
	mappings []mapping

	mu           sync.Mutex
	beforeLatest int64 // resident bytes before the latest release
}

// mapping is a range of addresses to which the system has mapped a file.
type mapping struct {
	start, end uintptr
}

// FindProgramPages finds the pages of this process. It finds none if the system does not tell.
func FindProgramPages() *ProgramPages {
	file, err := os.Open("/proc/self/smaps")
	if err != nil {
		return &ProgramPages{}
	}
	defer func() { _ = file.Close() }()
	return &ProgramPages{mappings: unchangedMappings(file)}
}

// ResidentBytes returns the resident memory that is mapped from files, or what it was before the latest release if that was more.
func (p *ProgramPages) ResidentBytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(ResidentFileBytes(), p.beforeLatest)
}

// Release releases the pages.
func (p *ProgramPages) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beforeLatest = ResidentFileBytes()
	for _, m := range p.mappings {
		_ = release(m) // pages that stay are counted
	}
}

// release releases the pages of a mapping.
func release(m mapping) error {
	_, _, errno := unix.Syscall(unix.SYS_MADVISE, m.start, m.end-m.start, unix.MADV_DONTNEED)
	if errno != 0 {
		return errno
	}
	return nil
}

// unchangedMappings reads the format of /proc/PID/smaps. It returns the mappings of files that can't be written to and have no page
// that differs from the file, such as one that the loader has changed.
func unchangedMappings(smaps io.Reader) (unchanged []mapping) {
	var current mapping
	isFromFile := false
	for lines := bufio.NewScanner(smaps); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		switch {
		case len(fields) == 0:
		case fields[0] == "Anonymous:" && len(fields) > 1:
			if isFromFile && fields[1] == "0" {
				unchanged = append(unchanged, current)
			}
		case !strings.HasSuffix(fields[0], ":"):
			current, isFromFile = parseMapping(fields)
		}
	}
	return unchanged
}

// parseMapping parses a mapping's line: ADDRESS-ADDRESS PERMISSIONS OFFSET DEVICE INODE PATH.
func parseMapping(fields []string) (m mapping, isFromFile bool) {
	const fieldsWithPath = 6
	start, end, _ := strings.Cut(fields[0], "-")
	first, startErr := strconv.ParseUint(start, 16, 64)
	last, endErr := strconv.ParseUint(end, 16, 64)
	if startErr != nil || endErr != nil || len(fields) < fieldsWithPath {
		return mapping{}, false
	}
	isReadOnly := strings.HasPrefix(fields[1], "r") && !strings.Contains(fields[1], "w") && strings.HasSuffix(fields[1], "p")
	isFile := strings.HasPrefix(fields[5], "/")
	return mapping{uintptr(first), uintptr(last)}, isReadOnly && isFile
}
