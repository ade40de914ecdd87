package relay

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// deflate compresses data.
func deflate(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// inflate decompresses the output of deflate. It returns an error if the data is larger than maxSize
// bytes.
func inflate(compressed []byte, maxSize int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxSize+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > maxSize {
		return nil, fmt.Errorf("larger than %d bytes", maxSize)
	}
	return data, nil
}
