import { faults } from "./faults.js";
import { replacementFaults } from "./faults/replacement-faults.js";

/** Faults that affect neither the members of the replicated log nor the network between them. */
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

/** Whether a fault loses as many members at once as the profile tolerates, so that no other member may fail meanwhile. */
const replacesMembers = (name: string): boolean => name in replacementFaults;

/** Selects the faults of a run at random; never runs two at once that together lose more than the profile tolerates. */
export class FaultSelection {
  private readonly names: readonly string[];
  private readonly random: () => number;
  private readonly activeFaults: string[] = [];

  constructor(faultNames: readonly string[], random: () => number) {
    this.names = faultNames.length > 0 ? faultNames : Object.keys(faults);
    this.random = random;
  }

  /** Selects the next fault and marks it active; undefined if the active ones allow none. */
  begin(): string | undefined {
    const allowed = this.names.filter((name) => this.isAllowed(name));
    const name = allowed[Math.floor(this.random() * allowed.length)];
    if (name !== undefined) this.activeFaults.push(name);
    return name;
  }

  /** Marks a fault as ended. */
  end(name: string): void {
    this.activeFaults.splice(this.activeFaults.indexOf(name), 1);
  }

  private isAllowed(name: string): boolean {
    if (replacesMembers(name))
      return this.activeFaults.every((other) => memberSafeFaults.has(other));
    return memberSafeFaults.has(name) || !this.activeFaults.some(replacesMembers);
  }
}
