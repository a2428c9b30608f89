package org.baobabcart.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import org.baobabcart.model.request.RequestIds;

/** Generates all requests of a load from its seed before the first one is sent. */
final class LoadPlan {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final double NANOS_PER_SECOND = 1e9;

    private LoadPlan() {}

    /** Returns the requests ordered by planned start. Equal settings give equal plans, except for idempotency keys. */
    static List<PlannedRequest> of(LoadSettings settings) {
        SplittableRandom random = new SplittableRandom(settings.seed());
        double seconds = settings.duration().toNanos() / NANOS_PER_SECOND;
        long[] starts = settings.shape().arrivals(settings.ratePerSecond(), seconds, random.split());
        int count = Math.min(starts.length, settings.mostRequests());
        List<PlannedRequest> requests = new ArrayList<>(count);
        for (int index = 0; index < count; index++) {
            LoadWorkspace workspace = draw(settings.workspaces(), LoadWorkspace::share, random);
            String rank = draw(settings.ranks(), RankShare::share, random).rank();
            String target = settings.targets().get(index % settings.targets().size());
            String body = body(settings, random.nextInt(settings.prompts()), index);
            requests.add(
                    settings.bookingService().isEmpty()
                            ? new PlannedRequest(starts[index], target, workspace, rank, CHAT_PATH, "", body)
                            : booking(settings, starts[index], target, workspace, rank, index));
        }
        return requests;
    }

    /**
     * Returns a booking with an idempotency key that is unique among all loads on this machine, because the response
     * to a repeated key would be replayed.
     */
    private static PlannedRequest booking(
            LoadSettings settings, long start, String target, LoadWorkspace workspace, String rank, int index) {
        String path = "/services/" + settings.bookingService() + "/bookings";
        String body = MAPPER.createObjectNode().put("item", "pane " + index).toString();
        return new PlannedRequest(start, target, workspace, rank, path, RequestIds.next(), body);
    }

    private static <T> T draw(List<T> choices, ToDoubleFunction<T> share, SplittableRandom random) {
        double total = choices.stream().mapToDouble(share).sum();
        double point = random.nextDouble() * total;
        for (T choice : choices) {
            point -= share.applyAsDouble(choice);
            if (point < 0) {
                return choice;
            }
        }
        return choices.get(choices.size() - 1);
    }

    private static String body(LoadSettings settings, int prompt, int index) {
        ObjectNode body = MAPPER.createObjectNode()
                .put("model", settings.model())
                .put("stream", settings.stream())
                .put("max_tokens", settings.tokens());
        String text = "prompt " + prompt + " ";
        String padded =
                text.repeat(settings.promptCharacters() / text.length() + 1).substring(0, settings.promptCharacters());
        body.putArray("messages").addObject().put("role", "user").put("content", padded + " request " + index);
        return body.toString();
    }
}
