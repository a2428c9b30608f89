package org.baobabcart.model.sheet;

import java.util.List;

/**
 * An ordered list of models, cheapest first, that are tried until an answer reaches the quality target. Immutable.
 *
 * @param name the name that callers send in place of a model's name
 * @param qualityTarget the rating, from 0 to 1, below which the next step is tried
 * @param steps models or {@code model@version}, cheapest first
 */
public record Cascade(String name, double qualityTarget, List<String> steps) {
    /** Copies the list of steps and replaces null by an empty list. */
    public Cascade {
        steps = Lists.copyOrEmpty(steps);
    }
}
