package org.catkinproxy.daemon;

import org.catkinproxy.caller.ActiveRequests;
import org.catkinproxy.caller.AdmissionState;
import org.catkinproxy.caller.CallerApi;
import org.catkinproxy.caller.CallerLimits;
import org.catkinproxy.caller.ServicePoolDirectory;
import org.catkinproxy.calls.CallRunner;
import org.catkinproxy.membership.MembershipTask;
import org.catkinproxy.relay.Relay;
import org.catkinproxy.settings.Limits;
import org.catkinproxy.settings.Settings;
import org.catkinproxy.stream.ResumeTokenCodec;

import java.time.Duration;

/**
 * What callers reach of an instance, over the tasks that own it.
 *
 * <p>Immutable, and as safe for use by any thread as its parts, which all are.
 *
 * @param settings the instance's settings
 * @param gate the configuration in force, and whether requests are taken
 * @param relay relays answers from engines
 * @param calls runs calls of plain services
 * @param membership the instances known
 * @param active counts the requests taken in
 */
record CallerSide(
        Settings settings,
        AdmissionState gate,
        Relay relay,
        CallRunner calls,
        MembershipTask membership,
        ActiveRequests active) {
    private static final int MAX_TOKENS = 32_768;
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(10);
    private static final Duration MAX_DEADLINE = Duration.ofMinutes(5);

    CallerApi api(ServicePoolDirectory services) {
        Limits limits = settings.limits();
        return CallerApi.create(
                gate,
                relay,
                calls,
                services,
                new RankedEntries(membership, settings.entriesTtl()),
                ResumeTokenCodec.create(settings.secrets().resumeTokenKey()),
                new CallerLimits(
                        MAX_TOKENS,
                        DEFAULT_DEADLINE,
                        MAX_DEADLINE,
                        limits.heartbeat(),
                        limits.requestsPerSecond(),
                        limits.maxConcurrentRequests()),
                active,
                System::nanoTime);
    }
}
