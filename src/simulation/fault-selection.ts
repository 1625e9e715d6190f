import { faults } from "./faults.js";
import { replacementFaults } from "./faults/replacement-faults.js";

/** Failures that leave the members of the replicated log and their network alone. */
const memberSafeFaults: ReadonlySet<string> = new Set([
  "killEdge",
  "cutFromBackEnds",
  "cutFromCallers",
  "cutBackEndsOff",
  "crashBackEnd",
  "loseAnswers",
  "sendGarbage",
  "slowBackEnds",
  "replaceBackEnds",
  "reuseAddress",
  "emptyService",
  "crashMostBackEnds",
  "restartEdgesInBreakdown",
  "stopCallersAfterPeak",
  "stormConfigs",
  "raceOperators",
  "growRoutes",
  "growRoutesInStorm",
  "garbleDuringStops",
]);

/** Failures that lose members for good, as many at once as may be lost: another lost besides would be one too many. */
const replacesMembers = (name: string): boolean => name in replacementFaults;

/** Draws the failures of a day, and keeps those apart that together would lose more than may be lost. */
export class FaultSelection {
  private readonly names: readonly string[];
  private readonly random: () => number;
  private readonly underWay: string[] = [];

  constructor(only: readonly string[], random: () => number) {
    this.names = only.length > 0 ? only : Object.keys(faults);
    this.random = random;
  }

  /** The next failure, which now is under way; none where those under way allow none. */
  begin(): string | undefined {
    const allowed = this.names.filter((name) => this.mayJoin(name));
    const name = allowed[Math.floor(this.random() * allowed.length)];
    if (name !== undefined) this.underWay.push(name);
    return name;
  }

  end(name: string): void {
    this.underWay.splice(this.underWay.indexOf(name), 1);
  }

  private mayJoin(name: string): boolean {
    if (replacesMembers(name)) return this.underWay.every((other) => memberSafeFaults.has(other));
    return memberSafeFaults.has(name) || !this.underWay.some(replacesMembers);
  }
}
