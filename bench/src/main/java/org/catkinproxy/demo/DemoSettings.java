package org.catkinproxy.demo;

import com.google.common.hash.Hashing;

import java.nio.charset.StandardCharsets;

/** The settings and keys of a cluster on loopback. Stateless, so safe for use by any thread. */
public final class DemoSettings {
    /** The key of the only operator. */
    public static final String OPERATOR_KEY = "operator-key";

    private DemoSettings() {}

    /** Returns the SHA-256 digest of a key in hexadecimal. */
    public static String digest(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }

    /** Returns the settings file of one daemon. */
    static String toml(
            String id, String callers, String operators, String peers, String platformUrl) {
        return String.join(
                "\n",
                "instance = \"" + id + "\"",
                "data_centre = \"dc-1\"",
                "entries_ttl_ms = 2000",
                "stop_grace_ms = 30000",
                "[listen]",
                "callers = \"" + callers + "\"",
                "operators = \"" + operators + "\"",
                "peers = \"" + peers + "\"",
                "[platform]",
                "url = \"" + platformUrl + "\"",
                "[operators]",
                "operator = \"" + digest(OPERATOR_KEY) + "\"",
                "[secrets]",
                "resume_token_key = \"a-resume-token-key-for-the-demo\"",
                "call_receipt_key = \"a-call-receipt-key-for-the-demo\"",
                "");
    }
}
