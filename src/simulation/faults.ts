import { backEndFaults } from "./faults/backend-faults.js";
import { catchUpFaults } from "./faults/catch-up-faults.js";
import { diskFaults } from "./faults/disk-faults.js";
import type { Fault } from "./faults/fault.js";
import { garbledAnswerFaults } from "./faults/garbled-response-faults.js";
import { lostAnswerFaults } from "./faults/lost-response-faults.js";
import { memberCutFaults } from "./faults/member-partition-faults.js";
import { networkFaults } from "./faults/network-faults.js";
import { orderFaults } from "./faults/command-faults.js";
import { processFaults } from "./faults/process-faults.js";
import { replacementFaults } from "./faults/replacement-faults.js";

/** All failures that a simulated fleet meets, by kind; each ends by itself. */
export const faults: Record<string, Fault> = {
  ...processFaults,
  ...diskFaults,
  ...networkFaults,
  ...backEndFaults,
  ...orderFaults,
  ...memberCutFaults,
  ...lostAnswerFaults,
  ...replacementFaults,
  ...catchUpFaults,
  ...garbledAnswerFaults,
};
