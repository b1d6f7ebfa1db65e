/** Deterministic answers: equal prompts produce equal tokens. */
import {hashToUint32} from '@buckthornbeam/shared';

const WORDS = [
  'earth',
  'test',
  'passed',
  'lantern',
  'order',
  'drill',
  'float',
  'paper',
  'river',
  'serial',
  'meter',
  'label',
  'clinic',
  'parish',
  'cable',
  'plug',
];

/** The prompt, which determines the tokens, and the length of its answer. */
export interface AnswerPlan {
  promptKey: string;
  totalTokens: number;
}

/** Plans an answer of 50 to 100 % of `maximumTokens`, at least one token. */
export function planAnswer(
  messages: unknown,
  maximumTokens: number,
): AnswerPlan {
  const promptKey = JSON.stringify(messages);
  const fraction = 0.5 + (hashToUint32(promptKey) % 1000) / 2000;
  const totalTokens = Math.max(1, Math.round(maximumTokens * fraction));
  return {promptKey, totalTokens};
}

/** Builds the token at an offset of an answer. */
export function makeToken(plan: AnswerPlan, offset: number): string {
  const index = hashToUint32(plan.promptKey, offset + 1) % WORDS.length;
  return `${WORDS[index]!}-${offset} `;
}

/** Builds the complete text that an engine streams for these messages. */
export function buildAnswerText(
  messages: unknown,
  maximumTokens: number,
): string {
  const plan = planAnswer(messages, maximumTokens);
  return Array.from({length: plan.totalTokens}, (_, offset) =>
    makeToken(plan, offset),
  ).join('');
}
