package org.catkinproxy.peer;

import org.catkinproxy.id.Revision;
import org.catkinproxy.peer.gen.SheetAnswer;
import org.catkinproxy.peer.gen.SheetRequest;
import org.catkinproxy.revision.AcceptedSheet;
import org.catkinproxy.revision.SheetDelta;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * The last few sheets that were in force here, for peers that are behind.
 *
 * <p>Several peers ask for the same difference at the same time, so the last ones are kept too.
 * Safe for use by any thread.
 */
final class SheetArchive {
    private static final int SHEETS = 6;
    private static final int ANSWERS = 6;

    private final Map<Revision, AcceptedSheet> mSheets = bounded(SHEETS);
    private final Map<String, SheetAnswer> mAnswers = bounded(ANSWERS);

    /** Takes in a sheet that is in force. */
    synchronized void add(AcceptedSheet sheet) {
        mSheets.put(sheet.revision(), sheet);
    }

    /** Answers a peer: with a difference if its own sheet is known here, else with the whole. */
    synchronized SheetAnswer answer(SheetRequest request) {
        AcceptedSheet wanted = mSheets.get(Revision.of(request.getWanted().getRevision()));
        if (wanted == null || !PeerCodec.head(request.getWanted()).equals(wanted.metadata())) {
            return new SheetAnswer();
        }
        Optional<AcceptedSheet> base =
                Optional.ofNullable(mSheets.get(Revision.of(request.getHave())));
        String key = wanted.revision() + " from " + base.map(AcceptedSheet::revision).orElse(null);
        return mAnswers.computeIfAbsent(key, k -> make(wanted, base));
    }

    /**
     * Returns the sheet that an answer holds; empty if it holds none.
     *
     * @throws IllegalArgumentException if it does not have the digest of its head
     */
    static Optional<AcceptedSheet> read(
            SheetRequest request, SheetAnswer answer, Optional<AcceptedSheet> have) {
        if (answer.isSetHunks() && have.isPresent()) {
            String csv = PeerCodec.delta(answer.getHunks()).applyTo(have.get().csv());
            return Optional.of(new AcceptedSheet(PeerCodec.head(request.getWanted()), csv));
        }
        if (answer.isSetGzip()) {
            String csv = unpack(answer.getGzip());
            return Optional.of(new AcceptedSheet(PeerCodec.head(request.getWanted()), csv));
        }
        return Optional.empty();
    }

    private static SheetAnswer make(AcceptedSheet wanted, Optional<AcceptedSheet> base) {
        SheetAnswer answer = new SheetAnswer();
        if (base.isPresent()) {
            SheetDelta delta = SheetDelta.between(base.get().csv(), wanted.csv());
            answer.setHunks(PeerCodec.hunks(delta));
        } else {
            answer.setGzip(pack(wanted.csv()));
        }
        return answer;
    }

    private static byte[] pack(String csv) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
            gzip.write(csv.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException("memory can always be written to", e);
        }
        return bytes.toByteArray();
    }

    private static String unpack(byte[] packed) {
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(packed))) {
            byte[] bytes = gzip.readNBytes(PeerTransport.MAX_SHEET_BYTES + 1);
            if (bytes.length > PeerTransport.MAX_SHEET_BYTES) {
                throw new IllegalArgumentException("the sheet of a peer is too large");
            }
            return new String(bytes, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalArgumentException("the sheet of a peer can not be unpacked", e);
        }
    }

    private static <K, V> Map<K, V> bounded(int size) {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > size;
            }
        };
    }
}
