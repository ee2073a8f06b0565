package keys_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"almondbay.example/serving/keys"
)

func TestRequireAcceptsOnlyKeysOfHolders(t *testing.T) {
	holders := keys.Holders([]keys.Secret{keys.NewSecret("old"), keys.NewSecret("new")})
	tests := map[string]struct {
		holders []keys.Holder
		header  string
		want    int
	}{
		"current key":                     {holders, "Bearer new", http.StatusOK},
		"previous key, lower-case scheme": {holders, "bearer old", http.StatusOK},
		"wrong key":                       {holders, "Bearer other", http.StatusUnauthorized},
		"digest as key":                   {holders, "Bearer " + holders[0].Digest, http.StatusUnauthorized},
		"no key":                          {holders, "", http.StatusUnauthorized},
		"empty key":                       {[]keys.Holder{{Digest: keys.Digest("")}}, "Bearer ", http.StatusUnauthorized},
		"other scheme":                    {holders, "Basic new", http.StatusUnauthorized},
		"no holders":                      {nil, "Bearer new", http.StatusUnauthorized},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			refused := 0
			ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
			request := httptest.NewRequest(http.MethodGet, "/", nil)
			request.Header.Set("Authorization", test.header)
			response := httptest.NewRecorder()
			keys.Require(test.holders, func(*http.Request) { refused++ }, ok).ServeHTTP(response, request)
			if response.Code != test.want || (refused == 1) != (test.want == http.StatusUnauthorized) {
				t.Errorf("got status %d, %d calls of onRefused; want status %d, and one call only for 401", response.Code, refused, test.want)
			}
		})
	}
}

// A secret must not appear in formatted, marshalled or logged output, including as
// a field of a struct.
func TestSecretIsNotInOutput(t *testing.T) {
	secret := keys.Generate()
	holder := struct{ Key keys.Secret }{secret}
	encoded, err := json.Marshal(holder)
	if err != nil {
		t.Fatal(err)
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	logged, err := encoder.EncodeEntry(zapcore.Entry{}, []zapcore.Field{zap.Any("key", secret), zap.Any("holder", holder), zap.Stringer("text", secret)})
	if err != nil {
		t.Fatal(err)
	}
	shown := fmt.Sprintf("%v %+v %#v %s %q %s %s", holder, holder, holder, secret, secret, encoded, logged.String())
	if strings.Contains(shown, secret.Reveal()) {
		t.Errorf("output contains the key: %s", shown)
	}
	if keys.Generate() == secret {
		t.Error("Generate returned the same key twice")
	}
}
