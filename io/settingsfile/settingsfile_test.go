package settingsfile

import (
	"errors"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"flamingoreach/io/settingserror"
	"flamingoreach/io/settingsproblem"
)

const minimalSettings = `[node]
host = "10.0.0.7"
region = "nl-west"
dataCentre = "ams-a"
service = "quotes"
[platform]
table = "10.0.0.1:8000"
objects = "10.0.0.1:9000"
accessKeyId = "name"
secretAccessKey = "value"
[fleet]
storeRegion = "nl-west"
dataCentres = { ams-a = "nl-west", arn-a = "nl-east" }
`

func problems(t *testing.T, text string) []settingsproblem.Problem {
	t.Helper()
	_, err := Decode("node.toml", []byte(text))
	if err == nil {
		return nil
	}
	var list *settingserror.Error
	require.ErrorAs(t, err, &list)
	return list.Problems
}

func TestDecodeFillsInDefaults(t *testing.T) {
	set, err := Decode("node.toml", []byte(minimalSettings))
	require.NoError(t, err)
	require.Equal(t, netip.MustParseAddrPort("10.0.0.7:8080"), set.Listen.Callers)
	require.Equal(t, netip.MustParseAddrPort("127.0.0.1:8081"), set.Listen.BackendServer)
	require.Equal(t, DefaultLinkBytes, set.Fleet.LinkBytes)
	require.Equal(t, DefaultBodyBytes, set.Limits.BodyBytes)
	require.Equal(t, log.InfoLevel, set.Logs.Gate)
	require.Empty(t, set.Seeds.Peers)
}

func TestDecodeReadsGivenValues(t *testing.T) {
	set, err := Decode("node.toml", []byte(minimalSettings+`linkBytes = 1000
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
[seeds]
peers = ["10.0.0.8:8082"]
[limits]
headerTime = "250ms"
[logs]
level = "warn"
gate = "debug"
`))
	require.NoError(t, err)
	require.Equal(t, 1000, set.Fleet.LinkBytes)
	require.Equal(t, uint16(0), set.Listen.Callers.Port())
	require.Equal(t, []netip.AddrPort{netip.MustParseAddrPort("10.0.0.8:8082")}, set.Seeds.Peers)
	require.Equal(t, 250*time.Millisecond, set.Limits.HeaderTime)
	require.Equal(t, log.WarnLevel, set.Logs.Caller)
	require.Equal(t, log.DebugLevel, set.Logs.Gate)
}

func TestDecodeReportsAllProblemsWithTheirLines(t *testing.T) {
	text := `[node]
host = "example"
region = "nl-east"
dataCentre = "ams-a"
colour = "pink"
[listen]
callers = "127.0.0.1:8080"
peers = "0.0.0.0:8080"
backendServer = "10.0.0.7:8081"
[platform]
table = "10.0.0.1:8000"
objects = "10.0.0.1:0"
accessKeyId = "name"
secretAccessKey = "value"
timeout = 5
[fleet]
storeRegion = "nl-north"
cutHold = "10 m"
dataCentres = { ams-a = "nl-west" }
[tls]
key = "node.key"
[operators]
tokenHashes = ["abc"]
["odd.\"name"]
level = 1
[limits]
connections = 0
[seeds]
peers = ["10.0.0.8", "10.0.0.8:0"]
[logs]
gate = "loud"
`
	found := map[string]int{}
	for _, pro := range problems(t, text) {
		found[pro.Key] = pro.Line
	}
	require.Equal(t, map[string]int{
		"node.service": 1, "node.host": 2, "node.region": 3, "node.colour": 5,
		"listen.peers": 8, "listen.backendServer": 9, "platform.objects": 12, "platform.timeout": 15,
		"fleet.storeRegion": 17, "fleet.cutHold": 18, "tls.authority": 20, "tls.certificate": 20,
		"operators.tokenHashes": 23, `"odd.\"name"`: 24, "limits.connections": 27, "seeds.peers": 29, "logs.gate": 31,
	}, found)
}

func TestDecodeReportsSyntaxErrorOnly(t *testing.T) {
	list := problems(t, "[node]\nhost = \n")
	require.Len(t, list, 1)
	require.Equal(t, 2, list[0].Line)
}

func TestDecodeRefusesOpenOperatorsListener(t *testing.T) {
	list := problems(t, minimalSettings+"[listen]\noperators = \"10.0.0.7:8083\"\n")
	require.Len(t, list, 1)
	require.Equal(t, "listen.operators", list[0].Key)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Add([]byte("[node]\nhost = {a = 1}\n[[node.region]]\n"))
	f.Add([]byte("\"a\\\"b\" = 1\na.b.\"c.d\" = [1, {x = 2}]\n[fleet]\ndataCentres = 3"))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := Decode("fuzz", text)
		if err == nil {
			require.NotEmpty(t, set.Fleet.DataCentres)
			require.True(t, set.Listen.BackendServer.Addr().IsLoopback())
			return
		}
		var list *settingserror.Error
		require.True(t, errors.As(err, &list))
		require.NotEmpty(t, list.Problems)
	})
}

func TestOperatorsPageShowsUsableSettings(t *testing.T) {
	page, err := os.ReadFile("../../docs/operating/settings.md")
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(page), "```toml\n")
	require.True(t, found)
	example, _, _ := strings.Cut(rest, "```")
	require.Empty(t, problems(t, example))
}
