package org.catkinproxy.daemon;

import org.catkinproxy.admin.StopView;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.member.MemberState;
import org.catkinproxy.membership.MembershipTask;
import org.catkinproxy.operator.StopAdmin;
import org.catkinproxy.upstream.EngineFleet;

import io.reactivex.rxjava3.core.Single;

import java.util.Optional;

/**
 * Begins planned stops by making an instance leave; membership tells all others, and the instance
 * itself if it is an entry.
 *
 * <p>Safe for use by any thread.
 */
final class MembershipStops implements StopAdmin {
    private final MembershipTask mMembership;
    private final EngineFleet mEngines;

    MembershipStops(MembershipTask membership, EngineFleet engines) {
        mMembership = membership;
        mEngines = engines;
    }

    @Override
    public Single<StopView> stop(InstanceId instance, String operator) {
        return Single.fromCallable(
                () -> {
                    Optional<MemberState> state = mMembership.view().find(instance);
                    if (state.isEmpty()) {
                        throw unknown(instance);
                    }
                    mMembership.stopAsked(instance);
                    return new StopView(instance.value(), "leaving", open(instance));
                });
    }

    private int open(InstanceId instance) {
        return mEngines.lastReport(EngineId.of(instance.value()))
                .map(seen -> seen.report().running() + seen.report().queued())
                .orElse(0);
    }

    private static CatkinException unknown(InstanceId instance) {
        return CatkinException.notRun(
                ErrorCode.NOT_FOUND,
                Step.STOP,
                CatkinException.NO_PEER,
                "there is no instance " + instance);
    }
}
