package org.baobabcart.model.sheet;

/**
 * A validation error of a sheet. Immutable.
 *
 * @param path the JSON path, such as {@code $.models[1].versions[0].share}
 * @param message what is wrong or what would be accepted
 */
public record SheetProblem(String path, String message) {
    @Override
    public String toString() {
        return path + ": " + message;
    }
}
