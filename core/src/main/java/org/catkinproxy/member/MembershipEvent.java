package org.catkinproxy.member;

import org.catkinproxy.config.PoolMember;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.InstanceId;

import java.util.List;

/** An event that a {@link Membership} handles. All events are immutable. */
public sealed interface MembershipEvent {
    /** The platform's instance list was read completely. */
    record InstancesListed(List<Listing> listings) implements MembershipEvent {
        /** Copies the list. */
        public InstancesListed {
            listings = List.copyOf(listings);
        }
    }

    /** The active configuration changed and has these upstream members. */
    record ConfigurationChanged(List<PoolMember> members) implements MembershipEvent {
        /** Copies the list. */
        public ConfigurationChanged {
            members = List.copyOf(members);
        }
    }

    /** An instance responded and reported its incarnation and its load in thousandths. */
    record InstanceResponded(InstanceId instance, Incarnation incarnation, int loadPermille)
            implements MembershipEvent {}

    /** A request to an instance failed or got no response. */
    record InstanceFailed(InstanceId instance) implements MembershipEvent {}

    /** An operator requested the planned stop of an instance. */
    record StopRequested(InstanceId instance) implements MembershipEvent {}

    /** A peer sent leave notices. */
    record NoticesReceived(List<LeaveNotice> notices) implements MembershipEvent {
        /** Copies the list. */
        public NoticesReceived {
            notices = List.copyOf(notices);
        }
    }

    /** Leave notices were sent to a peer. */
    record NoticesSent(List<LeaveNotice> notices) implements MembershipEvent {
        /** Copies the list. */
        public NoticesSent {
            notices = List.copyOf(notices);
        }
    }

    /** One entry of the platform's instance list. */
    record Listing(InstanceInfo info, boolean leaving) {}
}
