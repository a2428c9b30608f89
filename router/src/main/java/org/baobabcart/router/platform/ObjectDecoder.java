package org.baobabcart.router.platform;

import java.util.Optional;
import org.baobabcart.model.platform.StoredObject;

/**
 * Converts a stored object to the type that its reader uses. Called on the control thread, once for each version of an object.
 *
 * @param <T> the immutable type
 */
@FunctionalInterface
public interface ObjectDecoder<T> {
    /**
     * Returns the value of an object; empty if the object is valid and of no interest.
     *
     * @throws RuntimeException if the object is invalid, which is recorded and leaves the value of its last valid version in force
     */
    Optional<T> decode(StoredObject object);
}
