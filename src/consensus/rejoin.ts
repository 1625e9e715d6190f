/** How a member that lost its disk becomes countable in majorities again. */
import { create, enums, object, string, type Infer } from "superstruct";
import type { ConsensusState, DecisionContext } from "./state.js";

const markerShape = object({ kind: enums(["rejoined"]), machine: string(), nonce: string() });

/** The entry whose commit completes a member's rejoin. */
export type RejoinMarker = Infer<typeof markerShape>;

/** Parses the text of a rejoin marker entry; `undefined` for any other entry. */
export const parseRejoinMarker = (text: string): RejoinMarker | undefined =>
  text.startsWith('{"kind":"rejoined"') ? create(JSON.parse(text), markerShape) : undefined;

/** The text of the log entry that marks a member's rejoin with a nonce. */
export const rejoinMarkerEntryText = (machine: string, nonce: string): string =>
  JSON.stringify({ kind: "rejoined", machine, nonce });

/**
 * Whether a committed marker completes this member's rejoin. The marker of an earlier rejoin doesn't complete it, since the
 * member may have acknowledged entries after that marker and then lost them.
 */
export const completesRejoin = (
  state: ConsensusState,
  marker: RejoinMarker,
  { rules }: Pick<DecisionContext, "rules">,
): boolean =>
  state.rejoinNonce !== "" &&
  marker.machine === state.self &&
  (marker.nonce === state.rejoinNonce || !rules.rejoinOnlyByOwnNonce);

/** The state of a member whose rejoin is complete; the cleared nonce must be on disk before. */
export const stateAfterRejoin = (state: ConsensusState): ConsensusState => ({
  ...state,
  rejoinNonce: "",
});
