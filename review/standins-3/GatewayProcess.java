import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway process that the run command of the deploy file starts. */
final class GatewayProcess {
    private static final long START_MILLIS = 30_000;

    private final String mName;
    private final String mIp;
    private final Path mSettings;
    private final Path mLog;
    private final int mFront;
    private final int mReady;
    private Process mProcess;

    GatewayProcess(Path folder, String name, String ip, String store, int memoryMegabytes)
            throws IOException {
        mName = name;
        mIp = ip;
        mFront = freePort(ip);
        mReady = freePort(ip);
        int directory = freePort(ip);
        int peers = freePort(ip);
        mSettings = folder.resolve(name + ".json");
        mLog = folder.resolve(name + ".log");
        Files.writeString(
                mSettings,
                String.format(
                        "{\"node-name\":\"%s\",\"role\":\"gateway\",\"machine-class\":\"edge\","
                            + "\"serves\":[\"edge\",\"directory\"],\"ip\":\"%s\","
                            + "\"zone\":\"ne-a\",\"region\":\"new-england\","
                            + "\"zones\":{\"ne-a\":\"new-england\"},"
                            + "\"listen\":{\"front\":\"%s:%d\",\"ready\":\"%s:%d\","
                            + "\"directory\":\"%s:%d\"},\"port-range\":[%d,%d],\"seeds\":[],"
                            + "\"bootstrap\":true,\"loss-counts\":false,"
                            + "\"limits\":{\"cpu-share\":0.75,\"cores\":1,\"memory-mb\":%d,"
                            + "\"max-fds\":4100,\"link-mbps\":1000.0,\"disk-mb\":0},"
                            + "\"discovery\":\"platform\",\"entry\":\"directory\","
                            + "\"heartbeat-ms\":1200,\"bounds\":{\"contact-ms\":3000,"
                            + "\"drain-ms\":2000,\"grace-s\":8,\"lost-slack-ms\":200,"
                            + "\"converge-ms\":2000,\"budget-ratio\":0.2,"
                            + "\"budget-window-s\":10,\"budget-extra\":52,"
                            + "\"fencing\":false,\"lease-ttl-ms\":3000,\"thaw-ms\":300,"
                            + "\"version-ms\":10000,\"ttl_max_s\":5},"
                            + "\"provider\":{\"addr\":\"%s\",\"form\":\"table\"}}",
                        name, ip, ip, mFront, ip, mReady, ip, directory, peers, peers + 1,
                        memoryMegabytes, store));
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    private static List<String> runCommand() throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run command");
        }
        return new ArrayList<>(List.of(run.group(1).split(" ")));
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(runCommand());
        builder.environment().put(Names.of("settings"), mSettings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
        mProcess = builder.start();
    }

    /** Waits until the process says that it is ready. */
    void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + START_MILLIS * 1_000_000;
        while (System.nanoTime() < end) {
            if (isReady()) {
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException(mName + " did not become ready");
    }

    boolean isReady() {
        try {
            URL url = new URL("http://" + mIp + ":" + mReady + Names.of("ready"));
            HttpURLConnection call = (HttpURLConnection) url.openConnection();
            call.setConnectTimeout(1_000);
            call.setReadTimeout(1_000);
            return call.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    String ip() {
        return mIp;
    }

    int front() {
        return mFront;
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Sends a signal such as {@code STOP} to the process. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(mProcess.pid())).start().waitFor();
    }

    void end() throws InterruptedException {
        if (mProcess != null) {
            mProcess.destroyForcibly();
            mProcess.waitFor(10, TimeUnit.SECONDS);
        }
    }
}
