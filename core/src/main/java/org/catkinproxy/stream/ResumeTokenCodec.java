package org.catkinproxy.stream;

import static com.google.common.base.Preconditions.checkArgument;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.id.Weights;
import org.catkinproxy.id.WorkspaceId;

import java.security.MessageDigest;
import java.util.List;

/**
 * Encodes and decodes resume tokens, which are signed with a secret that all entry instances share.
 *
 * <p>An encoded token is the Base64 of the fields, a dot, and the Base64 of their HMAC-SHA256.
 * Immutable and thread-safe.
 */
public final class ResumeTokenCodec {
    /** The minimum length of the secret in bytes. */
    public static final int MIN_SECRET_BYTES = 16;

    private static final char SEPARATOR = '\n';
    private static final int FIELD_COUNT = 9;
    private static final int MAX_LENGTH = 2_048;
    private static final BaseEncoding BASE64 = BaseEncoding.base64Url().omitPadding();

    private final HashFunction mMac;

    private ResumeTokenCodec(byte[] secret) {
        checkArgument(
                secret.length >= MIN_SECRET_BYTES,
                "the secret has %s bytes, at least %s are required",
                secret.length,
                MIN_SECRET_BYTES);
        mMac = Hashing.hmacSha256(secret);
    }

    /**
     * Returns a codec that signs with {@code secret}.
     *
     * @throws IllegalArgumentException if the secret has fewer than {@link #MIN_SECRET_BYTES} bytes
     */
    public static ResumeTokenCodec create(byte[] secret) {
        return new ResumeTokenCodec(secret);
    }

    /** Encodes a token as URL-safe text without white space. */
    public String encode(ResumeToken token) {
        String text =
                Joiner.on(SEPARATOR)
                        .join(
                                token.workspace(),
                                token.request(),
                                token.engine(),
                                token.incarnation(),
                                token.weights().model(),
                                token.weights().adapter(),
                                token.weights().version(),
                                token.requestDigest(),
                                token.sequence());
        byte[] content = text.getBytes(UTF_8);
        return BASE64.encode(content) + "." + BASE64.encode(sign(content));
    }

    /**
     * Decodes a token.
     *
     * @throws CatkinException with code {@code INVALID_RESUME_TOKEN} if it is malformed or was not
     *     signed with the secret
     */
    public ResumeToken decode(String text) {
        try {
            return parse(text);
        } catch (IllegalArgumentException e) {
            throw CatkinException.notRun(
                    ErrorCode.INVALID_RESUME_TOKEN,
                    Step.RESUME,
                    CatkinException.NO_PEER,
                    e.getMessage());
        }
    }

    private ResumeToken parse(String text) {
        checkArgument(text.length() <= MAX_LENGTH, "the resume token is too long");
        int dot = text.indexOf('.');
        checkArgument(dot > 0, "the resume token has no signature");
        byte[] content = BASE64.decode(text.substring(0, dot));
        byte[] signature = BASE64.decode(text.substring(dot + 1));
        checkArgument(
                MessageDigest.isEqual(signature, sign(content)),
                "the signature of the resume token is wrong");
        List<String> fields = Splitter.on(SEPARATOR).splitToList(new String(content, UTF_8));
        checkArgument(
                fields.size() == FIELD_COUNT, "the resume token has %s fields", fields.size());
        return new ResumeToken(
                WorkspaceId.of(fields.get(0)),
                RequestId.of(fields.get(1)),
                EngineId.of(fields.get(2)),
                Incarnation.of(fields.get(3)),
                Weights.of(fields.get(4), fields.get(5), fields.get(6)),
                fields.get(7),
                Long.parseLong(fields.get(8)));
    }

    private byte[] sign(byte[] content) {
        return mMac.hashBytes(content).asBytes();
    }
}
