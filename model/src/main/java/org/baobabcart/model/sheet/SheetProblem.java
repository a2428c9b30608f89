package org.baobabcart.model.sheet;

/**
 * One fault of a sheet. Immutable.
 *
 * @param path where it is, such as {@code $.models[1].versions[0].share}
 * @param message what is wrong and what would be accepted
 */
public record SheetProblem(String path, String message) {
    @Override
    public String toString() {
        return path + ": " + message;
    }
}
