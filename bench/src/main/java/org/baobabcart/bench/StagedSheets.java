package org.baobabcart.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.baobabcart.launcher.LocalFleet;

/** Sheets that move new work of one model from its old version to its new one in stages. Stateless. */
final class StagedSheets {
    static final String MODEL = "layout-large";
    static final String OLD = "v1";
    static final String NEW = "v2";
    static final List<Double> SHARES = List.of(0.1, 0.25, 0.5, 1.0);
    static final long STAGE_SECONDS = 6;

    private static final int LEAST_RATED = 20;

    private StagedSheets() {}

    /** The default sheet with a roll-out that goes on when its controller is lost. */
    static JsonNode withRollOut(LocalFleet fleet) {
        ObjectNode sheet = (ObjectNode) fleet.defaultSheet().toJson();
        ObjectNode rollOut = sheet.putArray("rollOuts").addObject();
        rollOut.put("model", MODEL).put("from", OLD).put("to", NEW).put("whenControllerLost", "CONTINUE");
        ArrayNode stages = rollOut.putArray("stages");
        SHARES.forEach(share -> stages.addObject()
                .put("share", share)
                .put("minimumSeconds", STAGE_SECONDS)
                .put("minimumSamples", LEAST_RATED));
        return sheet;
    }

    /** The default sheet with a fixed share of the new version. */
    static JsonNode withShare(LocalFleet fleet, double share) {
        ObjectNode sheet = (ObjectNode) fleet.defaultSheet().toJson();
        for (JsonNode model : sheet.path("models")) {
            if (model.path("name").asText().equals(MODEL)) {
                for (JsonNode version : model.path("versions")) {
                    boolean fresh = version.path("name").asText().equals(NEW);
                    ((ObjectNode) version).put("share", fresh ? share : 1 - share);
                }
            }
        }
        return sheet;
    }
}
