package org.baobabcart.launcher;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Settings of a Java child process. Immutable.
 *
 * @param name the process's name, also the name of its log file
 * @param classPath the Java class path
 * @param mainClass the main class
 * @param virtualMachineFlags flags of the Java virtual machine
 * @param arguments the program arguments, except for the ports
 * @param portFlags the command line flag of each named port
 * @param ports the port numbers; a port that is missing here is chosen at the first start
 * @param logDirectory the directory of the log file
 */
public record ProcessSettings(
        String name,
        String classPath,
        String mainClass,
        List<String> virtualMachineFlags,
        List<String> arguments,
        Map<String, String> portFlags,
        Map<String, Integer> ports,
        Path logDirectory) {
    /** Copies the collections. */
    public ProcessSettings {
        virtualMachineFlags = List.copyOf(virtualMachineFlags);
        arguments = List.copyOf(arguments);
        portFlags = Map.copyOf(portFlags);
        ports = Map.copyOf(ports);
    }

    /** Returns a copy with fixed ports. */
    public ProcessSettings withPorts(Map<String, Integer> newPorts) {
        return new ProcessSettings(
                name, classPath, mainClass, virtualMachineFlags, arguments, portFlags, newPorts, logDirectory);
    }

    /** Returns a copy with different arguments. */
    public ProcessSettings withArguments(List<String> newArguments) {
        return new ProcessSettings(
                name, classPath, mainClass, virtualMachineFlags, newArguments, portFlags, ports, logDirectory);
    }

    /** Returns the command line. */
    List<String> command() {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(virtualMachineFlags);
        command.add("-cp");
        command.add(classPath);
        command.add(mainClass);
        command.addAll(arguments);
        portFlags.forEach((port, flag) -> {
            command.add(flag);
            command.add(Integer.toString(ports.getOrDefault(port, 0)));
        });
        return command;
    }
}
