import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A gateway that runs as a separate process with the command of the deploy file. */
final class GatewayProcess {
    private static final ObjectMapper JSON = new ObjectMapper();

    private static final Set<Integer> TAKEN = new HashSet<>();

    private final String mName;
    private final Path mFolder;
    private final int mFront = freePort();
    private final int mReady = freePort();
    private final int mDirectory = freePort();
    private final int mMetrics = freePort();
    private final int mPeer = freePort();
    private Process mProcess;

    GatewayProcess(String name, Path folder, Store store) throws IOException {
        this(name, folder, store.address());
    }

    GatewayProcess(String name, Path folder, String storeAddress) throws IOException {
        mName = name;
        mFolder = folder;
        ObjectNode settings = (ObjectNode) JSON.readTree(Path.of("review/standins-2/settings.json").toFile());
        settings.put("node-name", name).put("ip", "127.0.0.1").put("metrics-port", mMetrics);
        settings.putObject("listen")
                .put("front", "127.0.0.1:" + mFront)
                .put("ready", "127.0.0.1:" + mReady)
                .put("directory", "127.0.0.1:" + mDirectory);
        settings.putArray("port-range").add(mPeer).add(mPeer);
        ((ObjectNode) settings.get("provider")).put("addr", storeAddress);
        Files.writeString(settingsFile(), settings.toPrettyString());
    }

    private Path settingsFile() {
        return mFolder.resolve(mName + ".json");
    }

    /** Returns a free port below those that outgoing connections get. */
    private static synchronized int freePort() throws IOException {
        for (int i = 0; i < 1_000; i++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 30_000);
            if (TAKEN.contains(port)) {
                continue;
            }
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                TAKEN.add(port);
                return socket.getLocalPort();
            } catch (IOException e) {
                // Another process has it.
            }
        }
        throw new IOException("no free port");
    }

    String name() {
        return mName;
    }

    int front() {
        return mFront;
    }

    /** Returns the words of the deploy file's command. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                String words = line.substring(7, line.lastIndexOf('"'));
                return new ArrayList<>(Arrays.asList(words.split(" ")));
            }
        }
        throw new IOException("deploy file has no command");
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().put(Names.of("settings-variable"), settingsFile().toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(mFolder.resolve(mName + ".log").toFile()));
        mProcess = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(mProcess::destroyForcibly));
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    int exitCode() {
        return mProcess.exitValue();
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
    }

    void end() throws InterruptedException {
        mProcess.destroyForcibly();
        mProcess.waitFor(5, TimeUnit.SECONDS);
    }

    /** Waits until the gateway says that it is ready. */
    void awaitReady() throws IOException, InterruptedException {
        for (int i = 0; i < 300; i++) {
            try (Client client = new Client(mReady, 1_000)) {
                client.send("GET " + Names.of("ready") + " HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0]);
                if (client.receive().status() == 200) {
                    return;
                }
            } catch (IOException e) {
                // It does not listen yet.
            }
            Thread.sleep(50);
        }
        throw new IOException(mName + " is not ready");
    }
}
