package org.catkinproxy.member;

import org.catkinproxy.config.Member;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.InstanceId;

import java.util.List;

/** What the membership is told. All events are immutable. */
public sealed interface MembershipEvent {
    /** The platform's list was read, whole. */
    record Listed(List<Listing> listings) implements MembershipEvent {
        /** Copies the list. */
        public Listed {
            listings = List.copyOf(listings);
        }
    }

    /** The configuration names these upstreams. */
    record Configured(List<Member> members) implements MembershipEvent {
        /** Copies the list. */
        public Configured {
            members = List.copyOf(members);
        }
    }

    /** An instance answered, and said which start of it this is. */
    record Answered(InstanceId instance, Incarnation incarnation, int loadPermille)
            implements MembershipEvent {}

    /** An instance could not be reached, or its answer did not come. */
    record Failed(InstanceId instance) implements MembershipEvent {}

    /** An operator asked that an instance stop. */
    record StopAsked(InstanceId instance) implements MembershipEvent {}

    /** A peer passed on what it knows. */
    record NotesHeard(List<LeaveNote> notes) implements MembershipEvent {
        /** Copies the list. */
        public NotesHeard {
            notes = List.copyOf(notes);
        }
    }

    /** News was passed on to a peer. */
    record NotesTold(List<LeaveNote> notes) implements MembershipEvent {
        /** Copies the list. */
        public NotesTold {
            notes = List.copyOf(notes);
        }
    }

    /** One row of the platform's list. */
    record Listing(InstanceInfo info, boolean leaving) {}
}
