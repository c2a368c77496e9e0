import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs one case: what every case needs, and the exit status. Used by one thread. */
final class Case {
    /** The body of a case; returns whether the rule held. */
    interface Body {
        boolean run(Case run) throws Exception;
    }

    private final Path mFolder;
    private final Record mRecord;
    private final Store mStore = new Store();
    private final List<Gateway> mGateways = new java.util.ArrayList<>();

    private Case(String name) throws IOException {
        mFolder = Files.createTempDirectory("review");
        mRecord = new Record(Path.of("review", name, "record.txt"));
    }

    /** Returns whether the disruption takes place. */
    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    Record record() {
        return mRecord;
    }

    Store store() {
        return mStore;
    }

    Gateway gateway(String name) throws IOException {
        return gateway(name, mStore.address());
    }

    /** Returns a gateway that reaches the store at another address, as through a proxy. */
    Gateway gateway(String name, String storeAddress) throws IOException {
        Gateway gateway = new Gateway(mFolder, name, storeAddress);
        mGateways.add(gateway);
        return gateway;
    }

    /** Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if it could not run. */
    static void main(String name, Body body) {
        int status = 2;
        Case run = null;
        try {
            run = new Case(name);
            Runtime.getRuntime().addShutdownHook(new Thread(run::end));
            run.mRecord.add("trouble: %s", hasTrouble() ? "yes" : "no");
            status = body.run(run) ? 0 : 1;
            run.mRecord.add(status == 0 ? "the rule held" : "THE RULE WAS BROKEN");
        } catch (Exception | AssertionError e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    /** Ends what was started, also if the case is told to stop. */
    private void end() {
        for (Gateway gateway : mGateways) {
            try {
                gateway.kill();
            } catch (InterruptedException e) {
                gateway.close();
            }
        }
        if (System.getenv("KEEP") != null) {
            System.err.println("kept: " + mFolder);
            return;
        }
        try (Stream<Path> files = Files.walk(mFolder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            System.err.println("temporary folder not removed: " + e.getMessage());
        }
    }
}
