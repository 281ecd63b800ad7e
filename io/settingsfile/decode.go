package settingsfile

import (
	"net/netip"

	"github.com/charmbracelet/log"

	"flamingoreach/core/keyhash"
	"flamingoreach/io/tomldocument"
)

// Decode parses the text of a settings file, whose name is used in errors. It fails with a *settingserror.Error that lists all problems.
func Decode(name string, text []byte) (Settings, error) {
	doc := tomldocument.Parse(name, text)
	var set Settings
	set.decodeNode(doc)
	set.decodeListen(doc)
	set.decodePlatform(doc)
	set.decodeLimits(doc)
	set.decodeFleet(doc)
	set.decodeFiles(doc)
	set.decodeOperators(doc)
	set.decodeLogs(doc)
	set.check(doc)
	if err := doc.Err(); err != nil {
		return Settings{}, err
	}
	return set, nil
}

func (set *Settings) decodeNode(doc *tomldocument.Document) {
	set.Node.Host = doc.IP("node.host")
	set.Node.Region = doc.RequiredText("node.region")
	set.Node.DataCentre = doc.RequiredText("node.dataCentre")
	set.Node.Service = doc.RequiredText("node.service")
	set.Seeds.Peers = doc.Addresses("seeds.peers")
}

func (set *Settings) decodeListen(doc *tomldocument.Document) {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	set.Listen.Callers = doc.Address("listen.callers", netip.AddrPortFrom(set.Node.Host, defaultCallersPort))
	set.Listen.BackendServer = doc.Address("listen.backendServer", netip.AddrPortFrom(loopback, defaultBackendServerPort))
	set.Listen.Peers = doc.Address("listen.peers", netip.AddrPortFrom(set.Node.Host, defaultPeersPort))
	set.Listen.Operators = doc.Address("listen.operators", netip.AddrPortFrom(loopback, defaultOperatorsPort))
}

func (set *Settings) decodePlatform(doc *tomldocument.Document) {
	set.Platform.Table = doc.RequiredAddress("platform.table")
	set.Platform.Objects = doc.RequiredAddress("platform.objects")
	set.Platform.TableName = doc.Text("platform.tableName", DefaultTableName)
	set.Platform.Bucket = doc.Text("platform.bucket", DefaultBucket)
	set.Platform.AccessKeyID = doc.RequiredText("platform.accessKeyId")
	set.Platform.SecretAccessKey = doc.RequiredText("platform.secretAccessKey")
	set.Platform.Timeout = doc.Duration("platform.timeout", DefaultPlatformTimeout)
}

func (set *Settings) decodeLimits(doc *tomldocument.Document) {
	set.Limits.BodyBytes = doc.Count("limits.bodyBytes", DefaultBodyBytes)
	set.Limits.HeaderBytes = doc.Count("limits.headerBytes", DefaultHeaderBytes)
	set.Limits.Connections = doc.Count("limits.connections", DefaultConnections)
	set.Limits.HeaderTime = doc.Duration("limits.headerTime", DefaultHeaderTime)
	set.Limits.IdleTime = doc.Duration("limits.idleTime", DefaultIdleTime)
}

func (set *Settings) decodeFleet(doc *tomldocument.Document) {
	set.Fleet.StoreRegion = doc.RequiredText("fleet.storeRegion")
	set.Fleet.DataCentres = doc.TextMap("fleet.dataCentres")
	set.Fleet.LinkBytes = doc.Count("fleet.linkBytes", DefaultLinkBytes)
}

func (set *Settings) decodeFiles(doc *tomldocument.Document) {
	set.TLS.Authority = doc.Text("tls.authority", "")
	set.TLS.Certificate = doc.Text("tls.certificate", "")
	set.TLS.Key = doc.Text("tls.key", "")
	set.Record.File = doc.Text("record.file", "")
}

func (set *Settings) decodeOperators(doc *tomldocument.Document) {
	const key = "operators.tokenHashes"
	for idx, text := range doc.Texts(key) {
		var has keyhash.Hash
		if has.UnmarshalText([]byte(text)) != nil {
			doc.AddProblem(key, "entry %d: want a SHA-256 digest of 64 hexadecimal digits", idx+1)
			continue
		}
		set.Operators.TokenHashes = append(set.Operators.TokenHashes, has)
	}
}

func (set *Settings) decodeLogs(doc *tomldocument.Document) {
	set.Logs.Level = decodeLevel(doc, "logs.level", log.InfoLevel)
	set.Logs.Caller = decodeLevel(doc, "logs.caller", set.Logs.Level)
	set.Logs.Peer = decodeLevel(doc, "logs.peer", set.Logs.Level)
	set.Logs.Gate = decodeLevel(doc, "logs.gate", set.Logs.Level)
	set.Logs.Control = decodeLevel(doc, "logs.control", set.Logs.Level)
	set.Logs.Platform = decodeLevel(doc, "logs.platform", set.Logs.Level)
}

func decodeLevel(doc *tomldocument.Document, key string, fallback log.Level) log.Level {
	text := doc.Text(key, "")
	if text == "" {
		return fallback
	}
	level, err := log.ParseLevel(text)
	if err != nil {
		doc.AddProblem(key, `%q is none of "debug", "info", "warn", "error" and "fatal"`, text)
	}
	return level
}
