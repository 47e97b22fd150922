package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestExamples checks that the configurations of both deployments are valid.
func TestExamples(t *testing.T) {
	for _, name := range []string{"pakia-tena.ini", "guild.ini"} {
		text, err := os.ReadFile(filepath.Join("..", "examples", name))
		assert.NilError(t, err)
		c, err := Parse(name, string(text))
		assert.NilError(t, err)
		assert.Equal(t, len(c.Regions), 3)
		assert.Equal(t, len(c.Organisations), 10)
		for org, o := range c.Organisations {
			assert.Equal(t, c.ByKey("example-"+org), o)
		}
	}
}

// TestFindings checks that Parse returns all findings of a text at once, each with
// its place.
func TestFindings(t *testing.T) {
	files, err := filepath.Glob("testdata/*.ini")
	assert.NilError(t, err)
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			text, err := os.ReadFile(path)
			assert.NilError(t, err)
			_, err = Parse(filepath.Base(path), string(text))
			assert.Assert(t, err != nil)
			golden.Assert(t, err.Error()+"\n", filepath.Base(path)+".golden")
		})
	}
}

func TestDiff(t *testing.T) {
	before := "[Tier A]\nRank = 1\n[Tier B]\nRank = 2\n"
	after := "[Tier B]\nRank = 3\nPreempts = true\n[Tier C]\nRank = 4\n"
	var lines []string
	for _, c := range Diff(before, after) {
		lines = append(lines, c.String())
	}
	assert.DeepEqual(t, lines, []string{
		"- [Tier A]", "+ [Tier B] Preempts = true", "~ [Tier B] Rank = 3 (was 2)", "+ [Tier C]", "+ [Tier C] Rank = 4",
	})
	assert.Equal(t, len(Diff(after, after)), 0)
}

// FuzzParse checks that Parse does not panic, and that an accepted text has no
// difference from itself.
func FuzzParse(f *testing.F) {
	f.Add("[Tier A]\nRank = 1\n")
	f.Add("[Tier A\nRank\n=\n[]\n[ ]\nx = y = z\n[Class X]\nTier = A\nFirstToken = 1s\n")
	f.Add("# only a remark")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := Parse("fuzz", text); err != nil {
			return
		}
		if n := len(Diff(text, text)); n > 0 {
			t.Errorf("text %q differs from itself in %d places", text, n)
		}
	})
}

// TestKeyHashInUpperCase guards against a key that is never found because its hash was
// written in upper case.
func TestKeyHashInUpperCase(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "examples", "guild.ini"))
	assert.NilError(t, err)
	lower, err := Parse("", string(text))
	assert.NilError(t, err)
	for name, o := range lower.Organisations {
		upper, err := Parse("", strings.ReplaceAll(string(text), o.KeySHA256, strings.ToUpper(o.KeySHA256)))
		assert.NilError(t, err)
		assert.Equal(t, upper.ByKey("example-"+name), upper.Organisations[name])
	}
}

// TestDiffEmptyValue guards against a key with an empty value that is missing in the
// differences.
func TestDiffEmptyValue(t *testing.T) {
	with, without := "[Limits]\nA =\nB = 1\n", "[Limits]\nB = 1\n"
	assert.Equal(t, len(Diff(without, with)), 1)
	assert.Equal(t, Diff(without, with)[0].String(), "+ [Limits] A = ")
	assert.Equal(t, len(Diff(with, without)), 1)
	assert.Equal(t, Diff(with, without)[0].String(), "- [Limits] A = ")
	assert.Equal(t, Diff("[Limits]\nA =\n", "[Limits]\nA = 1\n")[0].String(), "~ [Limits] A = 1 (was )")
}
