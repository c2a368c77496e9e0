package org.catkinproxy.observe;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import net.jqwik.api.Example;

import org.apache.logging.log4j.core.config.DefaultConfiguration;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.layout.template.json.JsonTemplateLayout;

import java.io.IOException;

class EventLogTest {
    @Example
    void lineCarriesNumberNameAndText() throws IOException {
        JsonTemplateLayout layout =
                JsonTemplateLayout.newBuilder()
                        .setConfiguration(new DefaultConfiguration())
                        .setEventTemplateUri("classpath:event-template.json")
                        .build();
        Log4jLogEvent event =
                Log4jLogEvent.newBuilder()
                        .setLoggerName("catkinproxy")
                        .setLevel(LogEvent.STORE_FAILED.level())
                        .setMessage(EventMessage.of(LogEvent.STORE_FAILED, "scan", "refused"))
                        .build();
        JsonNode line = new ObjectMapper().readTree(layout.toSerializable(event));
        assertThat(line.path("event").intValue()).isEqualTo(701);
        assertThat(line.path("name").textValue()).isEqualTo("STORE_FAILED");
        assertThat(line.path("level").textValue()).isEqualTo("WARN");
        assertThat(line.path("message").textValue())
                .isEqualTo("store did not answer scan: refused");
    }
}
