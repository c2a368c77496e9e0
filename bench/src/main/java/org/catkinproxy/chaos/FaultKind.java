package org.catkinproxy.chaos;

import org.catkinproxy.demo.Member;

import java.util.List;

/** The failures that a run shows. Immutable. */
enum FaultKind {
    DAEMON_KILLED {
        @Override
        void show(RunContext context, FaultStep step) {
            ProcessFaults.killDaemon(
                    context, pick(context.cluster().daemons(), step), step.length());
        }
    },
    DAEMON_PAUSED {
        @Override
        void show(RunContext context, FaultStep step) {
            ProcessFaults.pause(context, pick(context.cluster().daemons(), step), step.length());
        }
    },
    DAEMON_STOPPED_AS_PLANNED {
        @Override
        void show(RunContext context, FaultStep step) {
            PlannedStop.run(context, pick(context.cluster().daemons(), step));
        }
    },
    ALL_DAEMONS_KILLED_WITH_STORE_DOWN {
        @Override
        void show(RunContext context, FaultStep step) {
            ProcessFaults.killAllDaemons(context, step.length());
        }
    },
    ENGINE_KILLED {
        @Override
        void show(RunContext context, FaultStep step) {
            ProcessFaults.killEngine(
                    context, pick(context.cluster().engines(), step), step.length());
        }
    },
    ENGINE_PAUSED {
        @Override
        void show(RunContext context, FaultStep step) {
            ProcessFaults.pause(context, pick(context.cluster().engines(), step), step.length());
        }
    },
    ENGINE_LEAVES {
        @Override
        void show(RunContext context, FaultStep step) {
            LeavingEngine.run(context, pick(context.cluster().engines(), step));
        }
    },
    SERVICE_PAUSED {
        @Override
        void show(RunContext context, FaultStep step) {
            ProcessFaults.pause(context, pick(context.cluster().services(), step), step.length());
        }
    },
    STORE_DOWN {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.platform(context, step, "outage", 1);
        }
    },
    STORE_MUTE {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.platform(context, step, "blackhole", 1);
        }
    },
    STORE_SLOW {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.platform(context, step, "slow", 0.5);
        }
    },
    STORE_ANSWERS_LOST {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.platform(context, step, "answer_lost", 0.5);
        }
    },
    STORE_WRITES_LATE {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.platform(context, step, "write_late", 0.5);
        }
    },
    STORE_SILENT {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.platform(context, step, "silence", 1);
        }
    },
    LIST_STALE {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.platform(context, step, "stale_list", 1);
        }
    },
    ENGINE_SILENT {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.engine(context, step, "silence", 1);
        }
    },
    ENGINE_CUTS {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.engine(context, step, "cut", 0.05);
        }
    },
    ENGINE_TRUNCATES {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.engine(context, step, "truncate", 0.05);
        }
    },
    TOKEN_GAPS {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.engine(context, step, "token_gap", 0.05);
        }
    },
    TOKENS_REPEATED {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.engine(context, step, "token_repeat", 0.05);
        }
    },
    TOKENS_CROSSED {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.engine(context, step, "token_crossed", 0.05);
        }
    },
    TOKENS_OF_ANOTHER_REQUEST {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.engine(context, step, "wrong_request", 0.05);
        }
    },
    ENGINE_NAMES_WRONG_WEIGHTS {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.engine(context, step, "wrong_weights", 0.3);
        }
    },
    CACHE_EVENTS_LOST {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.engine(context, step, "drop_cache_events", 0.3);
        }
    },
    SERVICE_ANSWERS_LOST {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.service(context, step, "answer_lost", 0.4);
        }
    },
    SERVICE_ANSWERS_LATE {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.service(context, step, "late", 0.4);
        }
    },
    SERVICE_ANSWERS_CROSSED {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.service(context, step, "crossed", 0.4);
        }
    },
    SERVICE_REFUSES {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.service(context, step, "refuse", 1);
        }
    },
    SERVICE_DOWN {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.service(context, step, "outage", 0.5);
        }
    },
    SERVICE_REDIRECTS {
        @Override
        void show(RunContext context, FaultStep step) {
            StandinFaults.service(context, step, "redirect", 0.5);
        }
    },
    SHEET_APPLIED {
        @Override
        void show(RunContext context, FaultStep step) {
            context.sheets().apply(pick(context.cluster().daemons(), step));
        }
    },
    OPERATORS_RACE {
        @Override
        void show(RunContext context, FaultStep step) {
            List<Member> daemons = context.cluster().daemons();
            Member second = daemons.get((step.target() + 1) % daemons.size());
            context.sheets().race(pick(daemons, step), second);
        }
    };

    /** Shows the failure and waits until it is over. */
    abstract void show(RunContext context, FaultStep step);

    static Member pick(List<Member> members, FaultStep step) {
        return members.get(step.target() % members.size());
    }
}
