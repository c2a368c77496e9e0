package org.catkinproxy.daemon;

import org.catkinproxy.admin.EngineView;
import org.catkinproxy.admin.InstanceStatus;
import org.catkinproxy.admin.InstanceView;
import org.catkinproxy.caller.AdmissionState;
import org.catkinproxy.config.Configuration;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.member.MemberState;
import org.catkinproxy.membership.MembershipTask;
import org.catkinproxy.operator.FleetView;
import org.catkinproxy.settings.Settings;
import org.catkinproxy.upstream.EngineFleet;

import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.function.IntSupplier;

/** Shows operators what this instance knows. Safe for use by any thread. */
final class LocalFleetView implements FleetView {
    private final Settings mSettings;
    private final AdmissionState mGate;
    private final MembershipTask mMembership;
    private final EngineFleet mEngines;
    private final Function<InstanceId, String> mOperatorAddresses;
    private final IntSupplier mOpenRequests;

    LocalFleetView(
            Settings settings,
            AdmissionState gate,
            MembershipTask membership,
            EngineFleet engines,
            Function<InstanceId, String> operatorAddresses,
            IntSupplier openRequests) {
        mSettings = settings;
        mGate = gate;
        mMembership = membership;
        mEngines = engines;
        mOperatorAddresses = operatorAddresses;
        mOpenRequests = openRequests;
    }

    @Override
    public InstanceStatus status() {
        long live = engines().stream().filter(e -> e.state().equals("live")).count();
        return new InstanceStatus(
                mSettings.instance().value(),
                mSettings.dataCentre().value(),
                mGate.acceptsRequests() ? "serving" : "stopping",
                mGate.acceptsRequests() && mGate.isConfigurationFresh(),
                configuration().revision().value(),
                (int) live,
                mMembership.peersNow().size(),
                mOpenRequests.getAsInt());
    }

    @Override
    public Configuration configuration() {
        return mGate.configuration();
    }

    @Override
    public List<EngineView> engines() {
        return EngineViews.of(mEngines);
    }

    @Override
    public List<InstanceView> instances() {
        return mMembership.view().all().stream().map(this::view).toList();
    }

    private InstanceView view(MemberState state) {
        return new InstanceView(
                state.info().id().value(),
                state.info().kind().name().toLowerCase(Locale.ROOT),
                state.info().address(),
                mOperatorAddresses.apply(state.info().id()),
                state.info().dataCentre().value(),
                stateName(state),
                state.info().weight());
    }

    private static String stateName(MemberState state) {
        if (state.leaving()) {
            return "leaving";
        }
        return state.reachable() ? "live" : "unreachable";
    }
}
