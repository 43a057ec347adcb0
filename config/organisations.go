package config

// Organisations returns all organisations in force that have an object, by name.
func (v *View) Organisations() map[string]Organisation {
	out := make(map[string]Organisation)
	for key, value := range v.values {
		if key.Kind != KindOrganisation {
			continue
		}
		if organisation, ok := value.parsed.(Organisation); ok {
			out[key.Name] = organisation
		}
	}
	return out
}
