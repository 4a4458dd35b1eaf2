package mesh_test

import (
	"os"
	"testing"

	"tanagerchute/internal/serial"
)

func TestMain(m *testing.M) { os.Exit(serial.Run(m.Run)) }
