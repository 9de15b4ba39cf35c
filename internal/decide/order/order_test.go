package order_test

import (
	"os"
	"testing"

	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/order"
)

// TestOrders reads lists of waiting units from testdata, each in the order in
// which the units must be served.
func TestOrders(t *testing.T) {
	var file struct {
		Orders []struct {
			Why   string
			Units []order.Unit
		}
	}
	b, err := os.ReadFile("testdata/orders.toml")
	if err != nil {
		t.Fatal(err)
	}
	if err := toml.Unmarshal(b, &file); err != nil {
		t.Fatal(err)
	}
	for _, o := range file.Orders {
		t.Run(o.Why, func(t *testing.T) {
			is := is.New(t)
			n := len(o.Units)
			// Sort must restore the order from every rotation of the list.
			for shift := range n {
				rotated := append(append([]order.Unit(nil), o.Units[shift:]...), o.Units[:shift]...)
				for i, k := range order.Sort(rotated, nil) {
					is.Equal(rotated[k], o.Units[i])
				}
			}
		})
	}
}
