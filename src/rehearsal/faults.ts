import { backEndFaults } from "./faults/backEndFaults.js";
import { diskFaults } from "./faults/diskFaults.js";
import type { Fault } from "./faults/fault.js";
import { networkFaults } from "./faults/networkFaults.js";
import { orderFaults } from "./faults/orderFaults.js";
import { processFaults } from "./faults/processFaults.js";

/** The failures of the brief, by kind; each ends by itself. */
export const faults: Record<string, Fault> = {
  ...processFaults,
  ...diskFaults,
  ...networkFaults,
  ...backEndFaults,
  ...orderFaults,
};
