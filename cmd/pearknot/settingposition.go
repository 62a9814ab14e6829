package main

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strconv"
	"strings"

	"pearknot/internal/tomlfile"
)

// positionPrefix matches the position, line:column, with which errors of controlplane.Parse begin.
var positionPrefix = regexp.MustCompile(`^(\d+):(\d+): `)

// withPosition returns an error in a settings file as a tomlfile.Error, at the line:column with which err begins, or at the
// start of the file if it has none.
func withPosition(file string, err error) error {
	match := positionPrefix.FindStringSubmatch(err.Error())
	if match == nil {
		return &tomlfile.Error{File: file, Line: 1, Column: 1, Message: err.Error()}
	}
	line, _ := strconv.Atoi(match[1])
	column, _ := strconv.Atoi(match[2])
	return &tomlfile.Error{File: file, Line: line, Column: column, Message: err.Error()[len(match[0]):]}
}

// settingInError matches the setting that a member's error names.
var settingInError = regexp.MustCompile(`setting ([A-Za-z0-9_.]+)`)

// settingPosition returns the position of the setting that an error names, or of the nearest object that should contain it.
func settingPosition(text []byte, reason string) (line, column int) {
	offset := 0
	if match := settingInError.FindStringSubmatch(reason); match != nil {
		offset = nearestOffset(settingOffsets(text), strings.TrimSuffix(match[1], "."))
	}
	before := text[:offset]
	return 1 + bytes.Count(before, []byte("\n")), offset - bytes.LastIndexByte(before, '\n')
}

// nearestOffset returns the offset of a path or of the nearest path above it, 0 if there is none.
func nearestOffset(offsets map[string]int, path string) int {
	for {
		if offset, ok := offsets[path]; ok {
			return offset
		}
		lastDot := strings.LastIndexByte(path, '.')
		if lastDot < 0 {
			return 0
		}
		path = path[:lastDot]
	}
}

// settingOffsets returns the offsets at which the keys and list elements of a JSON text begin, by path; elements count
// from 0. For malformed text it returns those before the error.
func settingOffsets(text []byte) map[string]int {
	scanner := &offsetScanner{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), offsets: map[string]int{}}
	_ = scanner.scan("")
	return scanner.offsets
}

// offsetScanner collects offsets while a JSON text is decoded.
type offsetScanner struct {
	text    []byte
	decoder *json.Decoder
	offsets map[string]int
}

// scan reads the next value, which has the given path, and records the offsets within it.
func (s *offsetScanner) scan(path string) error {
	opened, err := s.decoder.Token()
	if err != nil || opened != json.Delim('{') && opened != json.Delim('[') {
		return err
	}
	for index := 0; s.decoder.More(); index++ {
		var elementPath string
		if opened == json.Delim('{') {
			token, err := s.decoder.Token()
			if err != nil {
				return err
			}
			elementPath = joinPath(path, token.(string)) // a key's token is a string
			end := int(s.decoder.InputOffset())
			s.offsets[elementPath] = max(bytes.LastIndexByte(s.text[:end-1], '"'), 0)
		} else {
			elementPath = joinPath(path, strconv.Itoa(index))
			rest := s.text[s.decoder.InputOffset():]
			s.offsets[elementPath] = len(s.text) - len(bytes.TrimLeft(rest, " \t\r\n,"))
		}
		if err := s.scan(elementPath); err != nil {
			return err
		}
	}
	_, err = s.decoder.Token()
	return err
}

// joinPath returns the path of a key or element.
func joinPath(path, key string) string { return strings.TrimPrefix(path+"."+key, ".") }
