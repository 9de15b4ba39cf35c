package variants

import (
	"testing"

	"github.com/matryer/is"
)

const site = `length_s = 34.0
machines = [
  { class = "front", cpu_share = 0.4, link_mbps = 1000.0, count = 3 },
]

[net]
cross_region_ms = 20.0

[bounds]
cross_region_ms = 7.0

[[day]]
name = "quiet-1"
cpu_share = 0.4
`

func TestApply(t *testing.T) {
	is := is.New(t)
	out, err := (&Variant{Name: "far", Section: "net", Key: "cross_region_ms", Value: "60.0"}).Apply("[net]\ncross_region_ms = 20.0\n[bounds]\ncross_region_ms = 7.0\n")
	is.NoErr(err)
	is.Equal(out, "[net]\ncross_region_ms = 60.0\n[bounds]\ncross_region_ms = 7.0\n")
	out, err = (&Variant{Name: "slow", Key: "cpu_share", Factor: 0.5}).Apply(site)
	is.NoErr(err)
	is.True(out != site)
	is.Equal(out[len(out)-16:], "cpu_share = 0.4\n") // days do not change
	_, err = (&Variant{Name: "none", Section: "net", Key: "cpu_share", Factor: 0.5}).Apply(site)
	is.True(err != nil)
}

func TestReadResult(t *testing.T) {
	is := is.New(t)
	is.Equal(readResult("x\nworth 0.303 = whole day\n"), result{"0.303", "none"})
	is.Equal(readResult("worth -0.1 = x\nquiet-1 most for y  BROKEN: LOST 3, TWICE 102 (else 0.14)\n"), result{"-0.1", "LOST 3, TWICE 102"})
}
