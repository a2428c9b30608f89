package org.baobabcart.launcher;

import java.nio.file.Files;
import java.nio.file.Path;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/** Locates the repository and the class paths of its packaged modules. Thread-safe. */
final class RepositoryRoot {
    private static final String HOME = "BAOBABCART_HOME";

    private RepositoryRoot() {}

    /**
     * Returns the repository root: the system property or environment variable {@code BAOBABCART_HOME} if set, otherwise
     * the closest matching directory at or above the working directory.
     */
    static Path find() {
        String home = System.getProperty(HOME, System.getenv(HOME));
        if (home != null && !home.isEmpty()) {
            return Path.of(home).toAbsolutePath().normalize();
        }
        Path directory = Path.of("").toAbsolutePath();
        while (directory != null && !isRoot(directory)) {
            directory = directory.getParent();
        }
        if (directory == null) {
            throw BaobabcartException.of(
                            ResultCode.BAD_SETTING, "is not set and no repository contains the working directory")
                    .withLocation(HOME);
        }
        return directory;
    }

    /** Returns the class path of a packaged module. */
    static String classPath(Path root, String module) {
        Path target = root.resolve(module).resolve("target");
        if (!Files.isDirectory(target.resolve("lib"))) {
            throw BaobabcartException.of(ResultCode.BAD_SETTING, "is not packaged; run mvn package first")
                    .withLocation(module);
        }
        return target.resolve("classes") + java.io.File.pathSeparator + target.resolve("lib") + "/*";
    }

    private static boolean isRoot(Path directory) {
        return Files.isRegularFile(directory.resolve("pom.xml")) && Files.isDirectory(directory.resolve("standins"));
    }
}
