package org.baobabcart.router.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsParserTest {
    private static final List<String> REQUIRED = List.of(
            "--name",
            "router-a-1",
            "--data-centre",
            "a",
            "--platform",
            "http://127.0.0.1:1",
            "--virtual-machines",
            "http://127.0.0.1:2");

    @Test
    void parsesFlagsAndAppliesDefaults() {
        RouterSettings settings = parse(Map.of(), "--peers", "127.0.0.1:3, 127.0.0.1:4");
        assertThat(settings.name(), is("router-a-1"));
        assertThat(settings.peers(), contains("127.0.0.1:3", "127.0.0.1:4"));
        assertThat(settings.listenAddress(), is("127.0.0.1"));
        assertThat(settings.ratings().isPresent(), is(false));
    }

    @Test
    void flagOverridesEnvironmentVariableWhichOverridesDefault() {
        Map<String, String> environment = Map.of("BAOBABCART_CALLER_PORT", "8080", "BAOBABCART_ADMIN_PORT", "8081");
        RouterSettings settings = parse(environment, "--caller-port", "9090");
        assertThat(settings.callerPort(), is(9090));
        assertThat(settings.adminPort(), is(8081));
        assertThat(settings.peerPort(), is(0));
    }

    @ParameterizedTest
    @CsvSource({
        "--name, 'a b'",
        "--data-centre, ''",
        "--listen-address, 'not an address'",
        "--caller-port, 65536",
        "--admin-port, -1",
        "--peer-port, eighty",
        "--advertised-peer, host",
        "--advertised-peer, 'host:0'",
        "--advertised-peer, 'host:65536'",
        "--outgoing-address, 'not an address'",
        "--platform, 127.0.0.1:80",
        "--virtual-machines, ftp://host/",
        "--ratings, nonsense",
        "--peers, 'host'",
        "--balancer-delay-millis, 2s",
        "--drain-timeout-millis, 3600001"
    })
    void rejectsInvalidValueNamingSettingValueAndAcceptedFormat(String flag, String value) {
        BaobabcartException exception =
                assertThrows(BaobabcartException.class, () -> parse(Map.of(), flag + "=" + value));
        assertThat(exception.code(), is(ResultCode.BAD_SETTING));
        assertThat(
                exception.getMessage(),
                allOf(containsString(flag), containsString("'" + value + "'"), containsString("accepted: ")));
    }

    @Test
    void rejectsMissingValueAndUnknownFlag() {
        SettingsParser parser = SettingsParser.create(Map.of());
        BaobabcartException missing = assertThrows(BaobabcartException.class, () -> parser.parse("--name", "router"));
        assertThat(missing.getMessage(), allOf(containsString("--data-centre"), containsString("is missing")));
        BaobabcartException unknown = assertThrows(BaobabcartException.class, () -> parser.parse("--colour", "red"));
        assertThat(unknown.code(), is(ResultCode.BAD_SETTING));
    }

    private static RouterSettings parse(Map<String, String> environment, String... more) {
        List<String> arguments = new ArrayList<>(REQUIRED);
        arguments.addAll(List.of(more));
        return SettingsParser.create(environment)
                .parse(arguments.toArray(String[]::new))
                .orElseThrow();
    }
}
