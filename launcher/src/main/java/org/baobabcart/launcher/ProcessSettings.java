package org.baobabcart.launcher;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * How a process is started. Immutable.
 *
 * @param name the process's name, also the name of its log file
 * @param classPath the Java class path
 * @param mainClass the main class
 * @param virtualMachineFlags flags of the Java virtual machine
 * @param arguments the program's arguments without its ports
 * @param portFlags the flag that sets each named port
 * @param ports fixed numbers of ports; ports that are not named here are chosen at the first start
 * @param logDirectory where the log file is written
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

    /** The same process on fixed ports. */
    public ProcessSettings withPorts(Map<String, Integer> newPorts) {
        return new ProcessSettings(
                name, classPath, mainClass, virtualMachineFlags, arguments, portFlags, newPorts, logDirectory);
    }

    /** The same process with other arguments. */
    public ProcessSettings withArguments(List<String> newArguments) {
        return new ProcessSettings(
                name, classPath, mainClass, virtualMachineFlags, newArguments, portFlags, ports, logDirectory);
    }

    /** The command line. */
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
