import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway process, started with the command of the deploy file. Not thread-safe. */
final class Gateway implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    private final HttpClient mClient = HttpClient.newHttpClient();
    private final Path mFolder;
    private final String mName;
    private final int mFront = freePort();
    private final int mReady = freePort();
    private final int mDirectory = freePort();
    private final int mMetrics = freePort();
    private final int mPeers = freeDatagramPort();
    private Process mProcess;

    /** Writes the settings of a gateway of a small deployment; {@link #start} starts it. */
    Gateway(Path folder, String name, String storeAddress) throws IOException {
        mFolder = folder;
        mName = name;
        String settings =
                """
                {"node-name":"%s","role":"gateway","machine-class":"edge",
                 "serves":["edge","directory"],"ip":"127.0.0.1","zone":"z1","region":"r1",
                 "zones":{"z1":"r1"},"metrics-port":%d,"port-range":[%d,%d],
                 "listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d",
                           "directory":"127.0.0.1:%d"},
                 "seeds":[],"bootstrap":true,"loss-counts":false,
                 "limits":{"cpu-share":0.75,"cores":1,"memory-mb":280,"max-fds":4100,
                           "link-mbps":1000.0,"disk-mb":0},
                 "data-dir":null,"discovery":"platform","entry":"directory","heartbeat-ms":1200,
                 "bounds":{"contact-ms":3000,"drain-ms":2000,"grace-s":8,"lost-slack-ms":200,
                           "converge-ms":2000,"budget-ratio":0.2,"budget-window-s":10,
                           "budget-extra":52,"lease-ttl-ms":3000,"thaw-ms":300,
                           "version-ms":10000,"version-all-ms":14000,"ttl_max_s":5},
                 "provider":{"addr":"%s","form":"table","writes-per-s":400,"reads-per-s":2000,
                             "row-bytes":65536,"across":true,"history-s":20}}
                """
                        .formatted(
                                name, mMetrics, mPeers, mPeers, mFront, mReady, mDirectory,
                                storeAddress);
        Files.writeString(settingsFile(), settings);
    }

    private Path settingsFile() {
        return mFolder.resolve(mName + ".json");
    }

    int front() {
        return mFront;
    }

    /** Starts the process and waits until it is ready. */
    Gateway start() throws IOException, InterruptedException {
        startWithoutWaiting();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!isReady()) {
            if (System.nanoTime() > end || !mProcess.isAlive()) {
                throw new IllegalStateException("gateway is not ready");
            }
            Thread.sleep(50);
        }
        return this;
    }

    void startWithoutWaiting() throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IllegalStateException("no run command in the deploy file");
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
        builder.environment().put("CATKINPROXY_CONFIG", settingsFile().toString());
        builder.redirectErrorStream(true);
        Path log = mFolder.resolve(mName + ".log");
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        mProcess = builder.start();
    }

    boolean isReady() {
        return status("http://127.0.0.1:" + mReady + Wire.name("call-ready")) == 200;
    }

    /** Returns the addresses that a client gets, empty if the call failed. */
    String resolve() {
        try {
            String target = "?name=h&region=r1&zone=z1";
            URI uri =
                    URI.create(
                            "http://127.0.0.1:" + mDirectory + Wire.name("call-resolve") + target);
            return mClient.send(
                            HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(1)).build(),
                            HttpResponse.BodyHandlers.ofString())
                    .body();
        } catch (IOException | InterruptedException e) {
            return "";
        }
    }

    private int status(String uri) {
        try {
            return mClient.send(
                            HttpRequest.newBuilder(URI.create(uri))
                                    .timeout(Duration.ofSeconds(1))
                                    .build(),
                            HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        } catch (IOException | InterruptedException e) {
            return 0;
        }
    }

    /** Sends SIGTERM. */
    void terminate() {
        mProcess.destroy();
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    int exitCode() {
        return mProcess.exitValue();
    }

    void kill() throws InterruptedException {
        if (mProcess != null) {
            mProcess.destroyForcibly().waitFor();
        }
    }

    String log() throws IOException {
        return Files.readString(mFolder.resolve(mName + ".log"));
    }

    @Override
    public void close() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket =
                new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private static int freeDatagramPort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
