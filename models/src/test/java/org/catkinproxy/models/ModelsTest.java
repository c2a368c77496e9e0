package org.catkinproxy.models;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.Example;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.ast.Module;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;

import java.net.URISyntaxException;
import java.nio.file.Path;

/**
 * Runs every command of the models: a check with {@code expect 0} must find no counterexample, and
 * a run or a check of a flaw with {@code expect 1} must find its trace.
 */
class ModelsTest {
    private static final int FOUND = 1;
    private static final int NOT_FOUND = 0;

    @Example
    void callsRunAtMostOnce() throws URISyntaxException {
        runAll("calls.als");
    }

    @Example
    void staleOrdersAreHarmlessOrRepaired() throws URISyntaxException {
        runAll("orders.als");
    }

    @Example
    void configurationsNeverRevert() throws URISyntaxException {
        runAll("config.als");
    }

    private static void runAll(String name) throws URISyntaxException {
        String file = Path.of(ModelsTest.class.getResource("/" + name).toURI()).toString();
        Module model = CompUtil.parseEverything_fromFile(A4Reporter.NOP, null, file);
        assertThat(model.getAllCommands()).isNotEmpty();
        for (Command command : model.getAllCommands()) {
            A4Solution solution =
                    TranslateAlloyToKodkod.execute_command(
                            A4Reporter.NOP, model.getAllReachableSigs(), command, new A4Options());
            int found = solution.satisfiable() ? FOUND : NOT_FOUND;
            assertWithMessage("%s: %s", name, command).that(found).isEqualTo(command.expects);
        }
    }
}
