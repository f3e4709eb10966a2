export { answerRetirements, type RetirementOptions } from './answerRetirements'
