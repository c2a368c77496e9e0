package org.catkinproxy.caller;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;

import org.catkinproxy.config.Configuration;
import org.catkinproxy.config.Workspace;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.Revision;

import io.jooby.Context;

/**
 * Authenticates callers by their bearer keys.
 *
 * <p>Only digests of keys are compared, so that neither responses nor their timing reveal anything
 * about a key. Stateless; safe for use by any thread.
 */
final class Authenticator {
    private static final String SCHEME = "Bearer ";

    private Authenticator() {}

    static Workspace authenticate(Context ctx, Configuration configuration) {
        String header = ctx.header("Authorization").value("");
        if (!header.startsWith(SCHEME)) {
            throw rejection(ErrorCode.MISSING_KEY);
        }
        if (configuration.revision().equals(Revision.NONE)) {
            throw rejection(ErrorCode.NOT_CONFIGURED);
        }
        String digest =
                Hashing.sha256().hashString(header.substring(SCHEME.length()), UTF_8).toString();
        return configuration
                .findWorkspaceByKeyDigest(digest)
                .orElseThrow(() -> rejection(ErrorCode.UNKNOWN_KEY));
    }

    private static CatkinException rejection(ErrorCode code) {
        return CatkinException.notRun(
                code, Step.AUTHENTICATE, CatkinException.NO_PEER, code.meaning());
    }
}
