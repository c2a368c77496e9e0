package org.catkinproxy.observe;

import org.apache.logging.log4j.message.MapMessage;
import org.apache.logging.log4j.message.ParameterizedMessage;

/**
 * A log message that carries the event's number and name as fields beside its text.
 *
 * <p>Filled once and not changed afterwards, and so safe for use by any thread.
 */
final class EventMessage extends MapMessage<EventMessage, Object> {
    private static final long serialVersionUID = 1L;

    private final String mText;

    private EventMessage(String text) {
        mText = text;
    }

    static EventMessage of(LogEvent event, Object... args) {
        EventMessage message =
                new EventMessage(ParameterizedMessage.format(event.template(), args));
        message.with("event", event.number());
        message.with("name", event.name());
        return message;
    }

    @Override
    public String getFormattedMessage() {
        return mText;
    }

    @Override
    public void formatTo(StringBuilder buffer) {
        buffer.append(mText);
    }
}
