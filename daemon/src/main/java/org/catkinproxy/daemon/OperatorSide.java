package org.catkinproxy.daemon;

import org.catkinproxy.admin.BurnMessage;
import org.catkinproxy.admin.InstanceRevisionView;
import org.catkinproxy.caller.AdmissionState;
import org.catkinproxy.calls.CallAdmin;
import org.catkinproxy.configuration.ConfigTask;
import org.catkinproxy.dispatch.DispatchTask;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.Revision;
import org.catkinproxy.member.MemberState;
import org.catkinproxy.membership.MembershipTask;
import org.catkinproxy.observe.Metrics;
import org.catkinproxy.observe.ServiceLevels;
import org.catkinproxy.operator.FleetView;
import org.catkinproxy.operator.OperatorKeys;
import org.catkinproxy.operator.OperatorPorts;
import org.catkinproxy.operator.OperatorRoutes;
import org.catkinproxy.peer.PeerLink;
import org.catkinproxy.settings.Settings;
import org.catkinproxy.upstream.EngineFleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.IntSupplier;

/**
 * What operators see and change of an instance, over the tasks that own it.
 *
 * <p>Immutable, and as safe for use by any thread as its parts, which all are.
 *
 * @param settings the instance's settings
 * @param gate the configuration in force, and whether requests are taken
 * @param membership the instances known
 * @param engines the engines watched
 * @param dispatch the dispatcher
 * @param config the configuration task
 * @param peers the link to other daemons
 * @param calls the calls that may not be repeated
 * @param levels the service-level figures
 * @param metrics the metrics
 * @param openRequests how many requests are being worked on
 */
record OperatorSide(
        Settings settings,
        AdmissionState gate,
        MembershipTask membership,
        EngineFleet engines,
        DispatchTask dispatch,
        ConfigTask config,
        PeerLink peers,
        CallAdmin calls,
        ServiceLevels levels,
        Metrics metrics,
        IntSupplier openRequests) {
    OperatorRoutes routes() {
        FleetView fleet =
                new LocalFleetView(
                        settings, gate, membership, engines, peers::operatorAddress, openRequests);
        FleetGauges.add(metrics, fleet);
        return OperatorRoutes.create(
                OperatorKeys.of(settings.operatorDigests()),
                new OperatorPorts(
                        fleet,
                        new ConfigSheets(config, this::revisions),
                        new CallTableAdmin(calls),
                        new MembershipStops(membership, engines, dispatch),
                        new DispatchExplainer(
                                config::current, dispatch, settings.dispatch().policy()),
                        this::burn,
                        metrics::scrape));
    }

    private BurnMessage burn() {
        return BurnMessage.of(
                levels.snapshot(config.current()),
                settings.burnWindows().shortWindow().toMillis(),
                settings.burnWindows().longWindow().toMillis());
    }

    /**
     * Asks all peers; one that does not answer is shown with no revision, unless it has left: it
     * serves nobody, though the platform may list it for a while.
     */
    private List<InstanceRevisionView> revisions() {
        List<InstanceRevisionView> views = new ArrayList<>();
        views.add(view(settings.instance(), config.current().revision()));
        peers.revisions()
                .blockingGet()
                .forEach(
                        (peer, said) -> {
                            if (said.isPresent() || !hasLeft(peer)) {
                                views.add(view(peer, said));
                            }
                        });
        return views;
    }

    private boolean hasLeft(InstanceId peer) {
        return membership.view().find(peer).map(MemberState::leaving).orElse(true);
    }

    private static InstanceRevisionView view(InstanceId peer, Optional<PeerLink.Said> said) {
        return view(peer, said.map(PeerLink.Said::revision).orElse(Revision.NONE));
    }

    private static InstanceRevisionView view(InstanceId instance, Revision revision) {
        return new InstanceRevisionView(instance.value(), revision.value());
    }
}
