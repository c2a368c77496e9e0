package org.catkinproxy.chaos;

import org.catkinproxy.demo.Member;

import java.util.List;

/** The failures that a run shows. Immutable. */
enum FaultKind {
    DAEMON_KILLED {
        @Override
        void show(Scene scene, FaultStep step) {
            ProcessFaults.killDaemon(scene, pick(scene.cluster().daemons(), step), step.length());
        }
    },
    DAEMON_PAUSED {
        @Override
        void show(Scene scene, FaultStep step) {
            ProcessFaults.pause(scene, pick(scene.cluster().daemons(), step), step.length());
        }
    },
    DAEMON_STOPPED_AS_PLANNED {
        @Override
        void show(Scene scene, FaultStep step) {
            PlannedStop.run(scene, pick(scene.cluster().daemons(), step));
        }
    },
    ALL_DAEMONS_KILLED_WITH_STORE_DOWN {
        @Override
        void show(Scene scene, FaultStep step) {
            ProcessFaults.killAllDaemons(scene, step.length());
        }
    },
    ENGINE_KILLED {
        @Override
        void show(Scene scene, FaultStep step) {
            ProcessFaults.killEngine(scene, pick(scene.cluster().engines(), step), step.length());
        }
    },
    ENGINE_PAUSED {
        @Override
        void show(Scene scene, FaultStep step) {
            ProcessFaults.pause(scene, pick(scene.cluster().engines(), step), step.length());
        }
    },
    ENGINE_LEAVES {
        @Override
        void show(Scene scene, FaultStep step) {
            LeavingEngine.run(scene, pick(scene.cluster().engines(), step));
        }
    },
    SERVICE_PAUSED {
        @Override
        void show(Scene scene, FaultStep step) {
            ProcessFaults.pause(scene, pick(scene.cluster().services(), step), step.length());
        }
    },
    STORE_DOWN {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.platform(scene, step, "outage", 1);
        }
    },
    STORE_MUTE {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.platform(scene, step, "blackhole", 1);
        }
    },
    STORE_SLOW {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.platform(scene, step, "slow", 0.5);
        }
    },
    STORE_ANSWERS_LOST {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.platform(scene, step, "answer_lost", 0.5);
        }
    },
    STORE_WRITES_LATE {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.platform(scene, step, "write_late", 0.5);
        }
    },
    STORE_SILENT {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.platform(scene, step, "silence", 1);
        }
    },
    LIST_STALE {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.platform(scene, step, "stale_list", 1);
        }
    },
    ENGINE_SILENT {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.engine(scene, step, "silence", 1);
        }
    },
    ENGINE_CUTS {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.engine(scene, step, "cut", 0.05);
        }
    },
    ENGINE_TRUNCATES {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.engine(scene, step, "truncate", 0.05);
        }
    },
    TOKEN_GAPS {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.engine(scene, step, "token_gap", 0.05);
        }
    },
    TOKENS_REPEATED {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.engine(scene, step, "token_repeat", 0.05);
        }
    },
    TOKENS_CROSSED {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.engine(scene, step, "token_crossed", 0.05);
        }
    },
    TOKENS_OF_ANOTHER_REQUEST {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.engine(scene, step, "wrong_request", 0.05);
        }
    },
    ENGINE_NAMES_WRONG_WEIGHTS {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.engine(scene, step, "wrong_weights", 0.3);
        }
    },
    CACHE_EVENTS_LOST {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.engine(scene, step, "drop_cache_events", 0.3);
        }
    },
    SERVICE_ANSWERS_LOST {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.service(scene, step, "answer_lost", 0.4);
        }
    },
    SERVICE_ANSWERS_LATE {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.service(scene, step, "late", 0.4);
        }
    },
    SERVICE_ANSWERS_CROSSED {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.service(scene, step, "crossed", 0.4);
        }
    },
    SERVICE_REFUSES {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.service(scene, step, "refuse", 1);
        }
    },
    SERVICE_DOWN {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.service(scene, step, "outage", 0.5);
        }
    },
    SERVICE_REDIRECTS {
        @Override
        void show(Scene scene, FaultStep step) {
            StandinFaults.service(scene, step, "redirect", 0.5);
        }
    },
    SHEET_APPLIED {
        @Override
        void show(Scene scene, FaultStep step) {
            scene.sheets().apply(pick(scene.cluster().daemons(), step));
        }
    },
    OPERATORS_RACE {
        @Override
        void show(Scene scene, FaultStep step) {
            List<Member> daemons = scene.cluster().daemons();
            Member second = daemons.get((step.target() + 1) % daemons.size());
            scene.sheets().race(pick(daemons, step), second);
        }
    };

    /** Shows the failure and waits until it is over. */
    abstract void show(Scene scene, FaultStep step);

    static Member pick(List<Member> members, FaultStep step) {
        return members.get(step.target() % members.size());
    }
}
