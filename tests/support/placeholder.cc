namespace indigolead {}
