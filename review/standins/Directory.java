import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What clients know of the addresses of gateways: they ask again each second, and keep an older
 * response while they cannot obtain one with an address. Thread-safe.
 */
final class Directory {
    private static final long TTL_MILLIS = 1_000;
    private static final Pattern ADDRESS = Pattern.compile("127\\.0\\.0\\.1:(\\d+)");

    private final Record mRecord;
    private final Gateway mGateway;
    private volatile int mFront;

    /** Asks {@code gateway} for the first time and goes on asking it. */
    Directory(Record record, Gateway gateway) {
        mRecord = record;
        mGateway = gateway;
        refresh();
        if (mFront == 0) {
            throw new IllegalStateException("directory names no address");
        }
        Server.daemon(this::refreshForever);
    }

    int front() {
        return mFront;
    }

    private void refreshForever() {
        try {
            while (true) {
                Thread.sleep(TTL_MILLIS);
                refresh();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void refresh() {
        String response = mGateway.resolve();
        Matcher address = ADDRESS.matcher(response);
        boolean hasAddress = address.find();
        if (hasAddress) {
            mFront = Integer.parseInt(address.group(1));
        }
        mRecord.add(
                "directory says %s%s",
                response.isEmpty() ? "nothing" : response,
                hasAddress ? "" : ", so clients keep the address that they have");
    }
}
