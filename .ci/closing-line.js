import { knownRed } from "../tools/known-red.mjs";

/** A vitest reporter whose last line is the number of passed and failed tests, after the known red tests. */
export default class ClosingLine {
  onTestRunEnd(modules) {
    let passed = 0;
    let failed = 0;
    for (const module of modules) {
      if (module.state() === "failed" && [...module.children.allTests()].length === 0) failed += 1;
      for (const test of module.children.allTests()) {
        if (test.result().state === "passed") passed += 1;
        else if (test.result().state === "failed") failed += 1;
      }
    }
    process.on("exit", () => {
      for (const { name, cause, issue } of knownRed())
        console.log(`known red, not run: ${name} (${cause}; issue ${issue})`);
      console.log(`${passed} passed, ${failed} failed`);
    });
  }
}
