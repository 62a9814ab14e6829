package main

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strconv"
	"strings"

	"pearknot/internal/tomlfile"
)

// linePrefix is the place with which errors of controlplane.Parse begin.
var linePrefix = regexp.MustCompile(`^(\d+):(\d+): `)

// wrongSettings adds the file to an error that begins with line:column.
func wrongSettings(file string, err error) error {
	match := linePrefix.FindStringSubmatch(err.Error())
	if match == nil {
		return &tomlfile.Error{File: file, Line: 1, Column: 1, Message: err.Error()}
	}
	line, _ := strconv.Atoi(match[1])
	column, _ := strconv.Atoi(match[2])
	return &tomlfile.Error{File: file, Line: line, Column: column, Message: err.Error()[len(match[0]):]}
}

// settingInError is how a member's error names a setting.
var settingInError = regexp.MustCompile(`setting ([A-Za-z0-9_.]+)`)

// settingPlace returns the place of the setting that an error names, or of the nearest object that should contain it.
func settingPlace(text []byte, reason string) (line, column int) {
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
// from 0. Of a text with an error it returns those before the error.
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

// scan reads the next value, whose path is given.
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
			elementPath = joinPath(path, token.(string)) // the decoder gives a string for a key
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
