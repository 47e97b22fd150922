// Package buffer bounds the memory that the bodies of requests and answers take in one
// process. Each body is read into a Buffer; all buffers share the bytes of one Memory.
package buffer
