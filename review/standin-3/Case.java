import java.io.IOException;
import java.nio.file.Path;

/** Frame of a case: reads the environment, runs [play] and exits with its result. */
abstract class Case {
    /** Whether the disruption takes place. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Recorder recorder;
    final Fleet fleet;
    final Client client;

    Case(Path record) throws IOException {
        recorder = new Recorder(record);
        fleet = new Fleet(recorder);
        client = new Client(recorder);
        recorder.write("disruption: " + (trouble ? "yes" : "no"));
    }

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws Exception;

    /** Signals that the case could not run. */
    static final class CannotRun extends Exception {
        CannotRun(String reason) {
            super(reason);
        }
    }

    void require(boolean condition, String reason) throws CannotRun {
        if (!condition) throw new CannotRun(reason);
    }

    final void run() {
        int code;
        try {
            boolean held = play();
            recorder.write("result: the rule " + (held ? "held" : "was broken"));
            code = held ? 0 : 1;
        } catch (Exception failed) {
            recorder.write("result: the case could not run: " + failed);
            code = 2;
        }
        System.out.println(code == 0 ? "held" : code == 1 ? "broken" : "could not run");
        fleet.end();
        Runtime.getRuntime().halt(code);
    }
}
