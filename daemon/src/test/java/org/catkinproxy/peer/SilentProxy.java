package org.catkinproxy.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/** Passes bytes on, until it loses track of the connections that are open. */
final class SilentProxy implements AutoCloseable {
    private final ServerSocket mListener;
    private final int mTarget;
    private final List<AtomicBoolean> mOpen = new CopyOnWriteArrayList<>();
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();

    SilentProxy(int target) throws IOException {
        mListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mTarget = target;
        start(this::acceptAll);
    }

    int port() {
        return mListener.getLocalPort();
    }

    int connections() {
        return mOpen.size();
    }

    /** Makes all open connections silent for good; new ones work. */
    void forgetOpenConnections() {
        mOpen.forEach(o -> o.set(true));
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }

    private void acceptAll() throws IOException {
        while (true) {
            Socket caller = mListener.accept();
            Socket target = new Socket(InetAddress.getLoopbackAddress(), mTarget);
            mSockets.addAll(List.of(caller, target));
            AtomicBoolean silent = new AtomicBoolean();
            mOpen.add(silent);
            start(() -> pass(caller, target, silent));
            start(() -> pass(target, caller, silent));
        }
    }

    private static void pass(Socket from, Socket to, AtomicBoolean silent) throws IOException {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        byte[] buffer = new byte[8_192];
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
            if (!silent.get()) {
                out.write(buffer, 0, n);
            }
        }
    }

    private static void start(Step step) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                step.run();
                            } catch (IOException e) {
                                // One of the ends closed.
                                return;
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private interface Step {
        void run() throws IOException;
    }
}
