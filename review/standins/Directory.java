import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What one client knows of the addresses of gateways. It asks the gateways in turn once its response
 * has expired, and keeps an older one while it cannot obtain one with an address. Not thread-safe.
 */
final class Directory {
    private static final long RETRY_NANOS = 1_000_000_000L;
    private static final Pattern ADDRESS = Pattern.compile("127\\.0\\.0\\.1:(\\d+)");

    private final List<Gateway> mGateways;
    private final long mTtlNanos;
    private List<Integer> mFronts = List.of();
    private long mExpiresAt = System.nanoTime();

    /**
     * Creates the knowledge of one client.
     *
     * @param ttlMillis how long the client keeps a response
     */
    Directory(List<Gateway> gateways, long ttlMillis) {
        mGateways = gateways;
        mTtlNanos = ttlMillis * 1_000_000;
    }

    /** Returns the ports at which the client may connect. */
    List<Integer> fronts() {
        if (System.nanoTime() - mExpiresAt >= 0) {
            refresh();
        }
        return mFronts;
    }

    private void refresh() {
        mExpiresAt = System.nanoTime() + RETRY_NANOS;
        for (Gateway gateway : mGateways) {
            List<Integer> fronts = new ArrayList<>();
            Matcher address = ADDRESS.matcher(gateway.resolve());
            while (address.find()) {
                fronts.add(Integer.parseInt(address.group(1)));
            }
            if (!fronts.isEmpty()) {
                mFronts = fronts;
                mExpiresAt = System.nanoTime() + mTtlNanos;
                return;
            }
        }
    }
}
