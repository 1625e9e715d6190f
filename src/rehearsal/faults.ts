import { backEndFaults } from "./faults/backEndFaults.js";
import { catchUpFaults } from "./faults/catchUpFaults.js";
import { diskFaults } from "./faults/diskFaults.js";
import type { Fault } from "./faults/fault.js";
import { garbledAnswerFaults } from "./faults/garbledAnswerFaults.js";
import { lostAnswerFaults } from "./faults/lostAnswerFaults.js";
import { memberCutFaults } from "./faults/memberCutFaults.js";
import { networkFaults } from "./faults/networkFaults.js";
import { orderFaults } from "./faults/orderFaults.js";
import { processFaults } from "./faults/processFaults.js";
import { replacementFaults } from "./faults/replacementFaults.js";

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
